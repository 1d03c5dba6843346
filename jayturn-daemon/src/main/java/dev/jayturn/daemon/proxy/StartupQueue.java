package dev.jayturn.daemon.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that came before the configuration. The pattern answered: all processes died at once and
 * callers, who try a second time only, are back before control has a leader again. Turned away they
 * would find nobody ready at their next try either; held, they are served within a second or so.
 */
final class StartupQueue {
    /** Bounds the memory that held requests take. */
    private static final int MAX_REQUESTS = 300;

    private final List<Runnable> waitingRequests = new ArrayList<>();

    /** Holds a request if there is room. */
    boolean tryAdd(Runnable start) {
        return waitingRequests.size() < MAX_REQUESTS && waitingRequests.add(start);
    }

    /** Lets all go on, in the order in which they came. */
    void resumeAll() {
        List<Runnable> released = new ArrayList<>(waitingRequests);
        waitingRequests.clear();
        released.forEach(Runnable::run);
    }
}
