package dev.jayturn.core.timer;

/** A scheduled task that can be cancelled. */
public interface Cancellable {
    /** Cancels the task; has no effect once a one-shot task has run. */
    void cancel();
}
