package dev.jayturn.core.result;

/**
 * A refusal with its code.
 *
 * @param code the numbered code
 * @param notRun whether the call is known not to have run
 * @param detail what was wrong, in one sentence
 * @param retryAfterMillis when to come back, in milliseconds; 0 if that would not help
 */
public record Refusal(ResultCode code, NotRun notRun, String detail, long retryAfterMillis) {
    /** Returns a refusal of a call that did not run. */
    public static Refusal notRun(ResultCode code, String detail) {
        return new Refusal(code, NotRun.TRUE, detail, 0);
    }

    /** Returns a refusal of a call that did not run, with a time to come back in milliseconds. */
    public static Refusal notRun(ResultCode code, String detail, long retryAfterMillis) {
        return new Refusal(code, NotRun.TRUE, detail, retryAfterMillis);
    }

    /** Returns this refusal without the word that the call did not run. */
    public Refusal withExecutionUnknown() {
        return new Refusal(code, NotRun.UNKNOWN, detail, retryAfterMillis);
    }

    /** Returns a refusal of a call that may have run. */
    public static Refusal executionUnknown(ResultCode code, String detail) {
        return new Refusal(code, NotRun.UNKNOWN, detail, 0);
    }
}
