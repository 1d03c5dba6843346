package dev.jayturn.daemon.proxy;

import java.util.ArrayList;
import java.util.List;

/** Requests that wait for tokens; all try again whenever tokens may have come. */
final class TokenWaitQueue {
    private final List<Runnable> waiting = new ArrayList<>();

    void add(Runnable retry) {
        waiting.add(retry);
    }

    void retryAll() {
        List<Runnable> woken = new ArrayList<>(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
    }
}
