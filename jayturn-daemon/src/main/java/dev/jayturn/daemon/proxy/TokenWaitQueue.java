package dev.jayturn.daemon.proxy;

import java.util.ArrayList;
import java.util.List;

/** Requests that wait for tokens; all of them retry whenever tokens may have arrived. */
final class TokenWaitQueue {
    private final List<Runnable> waiting = new ArrayList<>();

    void add(Runnable retry) {
        waiting.add(retry);
    }

    void retryAll() {
        List<Runnable> retries = new ArrayList<>(waiting);
        waiting.clear();
        retries.forEach(Runnable::run);
    }
}
