package dev.jayturn.daemon.proxy;

import dev.jayturn.core.timer.TimerService;

/**
 * The wait of one request for a permit of an upstream at its rate limit. It ends with the answers
 * of the permits' owners, which take a round trip.
 */
final class PermitWait {
    private static final long MAX_WAIT_MILLIS = 150;

    private final TimerService timers;
    private final RetryQueue queue;
    private final Runnable retry;
    private long endMillis;
    private boolean started;

    /**
     * Creates a wait that has not started.
     *
     * @param retry dispatches the request again, unless it has been sent or has ended
     */
    PermitWait(TimerService timers, RetryQueue queue, Runnable retry) {
        this.timers = timers;
        this.queue = queue;
        this.retry = retry;
    }

    /**
     * Starts or continues to wait; returns false if no permits are to come, or not in time.
     *
     * @param isAnswerPending whether an owner has been asked and has not answered
     * @param rank position among the requests that wait
     */
    boolean await(boolean isAnswerPending, long deadlineMillis, int rank) {
        long now = timers.nowMillis();
        boolean isFirst = !started;
        if (isFirst) {
            started = true;
            endMillis = Math.min(deadlineMillis, now + MAX_WAIT_MILLIS);
        }
        if (now >= endMillis || !isAnswerPending) {
            return false;
        }
        queue.add(retry, rank);
        if (isFirst) {
            timers.schedule(endMillis - now, this::end);
        }
        return true;
    }

    private void end() {
        queue.remove(retry);
        retry.run();
    }
}
