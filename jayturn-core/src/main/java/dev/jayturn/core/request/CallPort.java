package dev.jayturn.core.request;

import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.result.Refusal;

/**
 * The connections of a call to its caller and to an upstream. Unless the caller disconnects, it
 * gets exactly one answer: that of an upstream, a refusal or a replayed answer.
 */
public interface CallPort {
    /** Sends the call to an upstream under an intent id, and reports the result to the call. */
    void dispatch(String intentId, Upstream upstream);

    /** Answers the caller with a refusal. */
    void refuse(Refusal refusal);

    /** Answers the caller with the recorded answer of an earlier call with the same key. */
    void replay(CallOutcome outcome);
}
