package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.drain.DrainAdmission;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * How long one request has taken and may take: its timeout, and whether it can end before this
 * instance does if that is about to stop.
 */
final class RequestTimes {
    private final TimerService timers;
    private final DrainAdmission drainAdmission;
    private final long receivedMillis;
    private @Nullable Cancellable timer;
    private long deadlineMillis;
    private long dispatchedMillis;

    RequestTimes(TimerService timers, DrainAdmission drainAdmission, long receivedMillis) {
        this.timers = timers;
        this.drainAdmission = drainAdmission;
        this.receivedMillis = receivedMillis;
    }

    /** Returns the time since the head of the request was received. */
    long elapsedMillis() {
        return timers.nowMillis() - receivedMillis;
    }

    /** Schedules a task, which replaces the one before. */
    void schedule(long delayMillis, Runnable task) {
        cancel();
        timer = timers.schedule(delayMillis, task);
    }

    /**
     * Starts the timeout, unless it has passed already.
     *
     * @param timeoutMillis time from the receipt of the head
     * @return whether it was started
     */
    boolean startTimeout(long timeoutMillis, Runnable onTimeout) {
        deadlineMillis = receivedMillis + timeoutMillis;
        if (remainingMillis() <= 0) {
            return false;
        }
        schedule(remainingMillis(), onTimeout);
        return true;
    }

    /** Returns the clock's time of the timeout. */
    long deadlineMillis() {
        return deadlineMillis;
    }

    /** Returns the time until the timeout. */
    long remainingMillis() {
        return deadlineMillis - timers.nowMillis();
    }

    /** Cancels the timeout, or the task that was scheduled instead. */
    void cancel() {
        Cancellable current = timer;
        timer = null;
        if (current != null) {
            current.cancel();
        }
    }

    /** Called when the request no longer waits for tokens or for the configuration. */
    void onDispatched() {
        dispatchedMillis = timers.nowMillis();
    }

    /** Called when the request was served whole. */
    void onServed(@Nullable Route route) {
        if (route != null) {
            drainAdmission.recordServed(route.name(), timers.nowMillis() - dispatchedMillis);
        }
    }

    /** Returns whether the request may be sent to an upstream now. */
    boolean admits(@Nullable Route route) {
        return route == null
                || drainAdmission.admits(route.name(), timers.nowMillis(), remainingMillis());
    }
}
