package dev.jayturn.core.timer;

/** The current time, and a scheduler that runs tasks on the thread of the owner. */
public interface TimerService {
    /** Returns the time in milliseconds since an epoch that depends on the implementation. */
    long nowMillis();

    /** Runs a task once, after a delay in milliseconds. */
    Cancellable schedule(long delayMillis, Runnable task);

    /** Runs a task repeatedly, with a period in milliseconds, until it is cancelled. */
    default Cancellable every(long periodMillis, Runnable task) {
        return new PeriodicTimer(this, periodMillis, task);
    }
}
