package dev.jayturn.core.retry;

import dev.jayturn.core.timer.TimerService;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds what one instance sends again to a service, so that all instances together stay within a
 * ratio of the requests in a sliding window plus a fixed number. Each instance takes the ratio of
 * its own requests and an equal part of the number.
 */
public final class SharedRetryBudget {
    /** Share of the bound that is used, since windows of different instances differ. */
    private static final double SAFETY_FACTOR = 0.6;

    private final TimerService timers;
    private final long windowMillis;
    private final double ratio;
    private final double slack;
    private final Deque<Long> requestMillis = new ArrayDeque<>();
    private final Deque<Long> retryMillis = new ArrayDeque<>();

    public SharedRetryBudget(TimerService timers, long windowMillis, double ratio, double slack) {
        this.timers = timers;
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.slack = slack;
    }

    /** Counts a request. */
    public void recordRequest() {
        requestMillis.addLast(timers.nowMillis());
        expire(requestMillis);
    }

    /** Returns whether a request may be sent once more, and counts it if so. */
    public boolean tryAcquire(int instances) {
        expire(requestMillis);
        expire(retryMillis);
        double most =
                SAFETY_FACTOR * (ratio * requestMillis.size() + slack / Math.max(1, instances));
        if (retryMillis.size() + 1 > most) {
            return false;
        }
        retryMillis.addLast(timers.nowMillis());
        return true;
    }

    private void expire(Deque<Long> times) {
        long since = timers.nowMillis() - windowMillis;
        while (!times.isEmpty() && times.peekFirst() < since) {
            times.removeFirst();
        }
    }
}
