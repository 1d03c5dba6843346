package dev.jayturn.core.retry;

import dev.jayturn.core.timer.TimerService;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of one instance to a service, so that the retries of all instances together
 * stay within a ratio of the requests in a sliding window plus a fixed number, the slack. Each
 * instance uses the ratio of its own requests and an equal part of the slack.
 *
 * <p>Load pattern: all upstreams fail, and callers move from some instances to others, so that one
 * window holds retries for the requests of two. {@link InstanceCounts} tells who uses a part of the
 * slack.
 */
public final class SharedRetryBudget {
    /**
     * Fraction of the limit that is used. The windows of the instances are not aligned: one window
     * of all may hold what was allowed in two, and parts of the slack by two counts.
     */
    private static final double SAFETY_FACTOR = 0.5;

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

    /** Records a request. */
    public void recordRequest() {
        requestMillis.addLast(timers.nowMillis());
        expire(requestMillis);
    }

    /**
     * Takes a retry from the budget; returns false if there is none.
     *
     * @param instances what the slack is divided by; 0 if it may not be used
     */
    public boolean tryAcquire(int instances) {
        expire(requestMillis);
        expire(retryMillis);
        double slackPart = instances > 0 ? slack / instances : 0;
        double maxRetries = SAFETY_FACTOR * (ratio * requestMillis.size() + slackPart);
        if (retryMillis.size() + 1 > maxRetries) {
            return false;
        }
        retryMillis.addLast(timers.nowMillis());
        return true;
    }

    /** Returns the number of requests in the window that ends with the last request or retry. */
    public int requestCount() {
        return requestMillis.size();
    }

    /** Returns the number of retries in the window that ends with the last attempt at one. */
    public int retryCount() {
        return retryMillis.size();
    }

    private void expire(Deque<Long> times) {
        long windowStartMillis = timers.nowMillis() - windowMillis;
        while (!times.isEmpty() && times.peekFirst() < windowStartMillis) {
            times.removeFirst();
        }
    }
}
