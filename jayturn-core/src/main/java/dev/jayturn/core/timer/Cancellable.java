package dev.jayturn.core.timer;

/** A delayed or repeated call that can be cancelled. */
public interface Cancellable {
    /** Cancels the call; does nothing when it was made already. */
    void cancel();
}
