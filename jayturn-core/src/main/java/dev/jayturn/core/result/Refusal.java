package dev.jayturn.core.result;

/**
 * The refusal of a call.
 *
 * @param notRun whether the call is known not to have run
 * @param detail description of the cause, in one sentence; may be empty
 * @param retryAfterMillis delay before a retry, in milliseconds; 0 if a retry would not help
 */
public record Refusal(ResultCode code, NotRun notRun, String detail, long retryAfterMillis) {
    /** Returns a refusal of a call that did not run. */
    public static Refusal notRun(ResultCode code, String detail) {
        return new Refusal(code, NotRun.TRUE, detail, 0);
    }

    /** Returns a refusal of a call that did not run, with a delay before a retry. */
    public static Refusal notRun(ResultCode code, String detail, long retryAfterMillis) {
        return new Refusal(code, NotRun.TRUE, detail, retryAfterMillis);
    }

    /** Returns a copy of this refusal for a call that may have run. */
    public Refusal withExecutionUnknown() {
        return new Refusal(code, NotRun.UNKNOWN, detail, retryAfterMillis);
    }

    /** Returns a refusal of a call that may have run. */
    public static Refusal executionUnknown(ResultCode code, String detail) {
        return new Refusal(code, NotRun.UNKNOWN, detail, 0);
    }
}
