package dev.jayturn.daemon.proxy;

import java.util.ArrayList;
import java.util.List;

/** Requests that wait for tokens; all of them retry whenever tokens may have arrived. */
final class TokenWaitQueue {
    private final List<Runnable> waitingRequests = new ArrayList<>();

    void add(Runnable retry) {
        waitingRequests.add(retry);
    }

    void retryAll() {
        List<Runnable> retries = new ArrayList<>(waitingRequests);
        waitingRequests.clear();
        retries.forEach(Runnable::run);
    }
}
