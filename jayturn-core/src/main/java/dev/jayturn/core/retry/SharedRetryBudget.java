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
    private static final double MARGIN = 0.6;

    private final TimerService timers;
    private final long windowMillis;
    private final double ratio;
    private final double slack;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    public SharedRetryBudget(TimerService timers, long windowMillis, double ratio, double slack) {
        this.timers = timers;
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.slack = slack;
    }

    /** Counts a request. */
    public void noteRequest() {
        requests.addLast(timers.nowMillis());
        expire(requests);
    }

    /** Returns whether a request may be sent once more, and counts it if so. */
    public boolean tryTake(int instances) {
        expire(requests);
        expire(retries);
        double most = MARGIN * (ratio * requests.size() + slack / Math.max(1, instances));
        if (retries.size() + 1 > most) {
            return false;
        }
        retries.addLast(timers.nowMillis());
        return true;
    }

    private void expire(Deque<Long> times) {
        long since = timers.nowMillis() - windowMillis;
        while (!times.isEmpty() && times.peekFirst() < since) {
            times.removeFirst();
        }
    }
}
