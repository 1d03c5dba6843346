package dev.jayturn.daemon.proxy;

import java.util.ArrayList;
import java.util.List;

/** Requests that wait for tokens; all try again whenever tokens may have come. */
final class TokenWaitQueue {
    private final List<Runnable> waitingRequests = new ArrayList<>();

    void add(Runnable retry) {
        waitingRequests.add(retry);
    }

    void retryAll() {
        List<Runnable> woken = new ArrayList<>(waitingRequests);
        waitingRequests.clear();
        woken.forEach(Runnable::run);
    }
}
