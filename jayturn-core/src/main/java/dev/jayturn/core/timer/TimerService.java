package dev.jayturn.core.timer;

/** Time and delayed calls; every call comes on the thread that owns the subscriber. */
public interface TimerService {
    /** Returns the time in milliseconds since a fixed epoch. */
    long nowMillis();

    /** Calls the task once after the delay in milliseconds. */
    Cancellable schedule(long delayMillis, Runnable task);

    /** Calls the task every period in milliseconds until cancelled. */
    default Cancellable every(long periodMillis, Runnable task) {
        return new PeriodicTimer(this, periodMillis, task);
    }
}
