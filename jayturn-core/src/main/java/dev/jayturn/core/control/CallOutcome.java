package dev.jayturn.core.control;

/**
 * How a claimed call ended.
 *
 * @param state what is known
 * @param status the upstream's HTTP status; 0 if there was none
 * @param contentType of the body
 * @param body the answer, if it was short enough to keep
 * @param bodyKept whether the body is whole
 */
public record CallOutcome(
        State state, int status, String contentType, String body, boolean bodyKept) {
    /** What is known of a call. */
    public enum State {
        IN_PROGRESS,
        RELEASED,
        RAN,
        UNKNOWN,
        RESOLVED_RAN,
        RESOLVED_NOT_RUN
    }

    static final CallOutcome IN_PROGRESS = withoutAnswer(State.IN_PROGRESS);

    /** Returns an outcome without an answer. */
    public static CallOutcome withoutAnswer(State state) {
        return new CallOutcome(state, 0, "", "", false);
    }
}
