package dev.jayturn.core.control;

/**
 * The outcome of a claimed call, as far as it is known.
 *
 * @param status the upstream's HTTP status; 0 if there was none
 * @param contentType content type of the body
 * @param body the body of the answer; empty if it was not kept
 * @param bodyKept whether the body was kept in full
 */
public record CallOutcome(
        State state, int status, String contentType, String body, boolean bodyKept) {
    /** What is known of the execution of a call. */
    public enum State {
        /** No outcome has been recorded yet. */
        IN_PROGRESS,
        /** The claim was released: the call did not run. */
        RELEASED,
        /** The call ran. */
        RAN,
        /** The call may have run. */
        UNKNOWN,
        /** An operator resolved the claim: the call ran. */
        RESOLVED_RAN,
        /** An operator resolved the claim: the call did not run. */
        RESOLVED_NOT_RUN
    }

    static final CallOutcome IN_PROGRESS = withoutAnswer(State.IN_PROGRESS);

    /** Returns an outcome without an answer. */
    public static CallOutcome withoutAnswer(State state) {
        return new CallOutcome(state, 0, "", "", false);
    }
}
