package dev.jayturn.daemon.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that wait for the first configuration. After a crash of all processes, callers reconnect
 * before the control instances have elected a leader. Callers retry only once; if they were
 * refused, their retry would find no ready instance either, whereas requests that wait are served
 * within about a second.
 */
final class StartupQueue {
    /** Limits the memory that waiting requests use. */
    private static final int MAX_REQUESTS = 300;

    private final List<Runnable> waitingRequests = new ArrayList<>();

    /** Adds a request unless the queue is full; returns whether it was added. */
    boolean tryAdd(Runnable resume) {
        return waitingRequests.size() < MAX_REQUESTS && waitingRequests.add(resume);
    }

    /** Resumes all requests, in the order of their arrival. */
    void resumeAll() {
        List<Runnable> resumed = new ArrayList<>(waitingRequests);
        waitingRequests.clear();
        resumed.forEach(Runnable::run);
    }
}
