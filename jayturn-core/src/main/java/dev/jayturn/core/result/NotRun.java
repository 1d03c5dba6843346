package dev.jayturn.core.result;

/** Whether a refused call is known not to have run. */
public enum NotRun {
    /** The call did not run and never will under this request id. */
    TRUE,
    /** The call ran, at least in part. */
    FALSE,
    /** The call may have run. */
    UNKNOWN
}
