package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.UpstreamLoad;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The upstreams that one request was sent to, and whether any of them may have executed it. */
final class SendHistory {
    /**
     * Maximum number of retries after attempts that found the upstream unreachable or another
     * upstream at its address.
     */
    private static final int MAX_UNSENT_RETRIES = 4;

    private final Set<String> triedIds = new HashSet<>();
    private int sendCount;
    private int notExecutedCount;
    private int unsentCount;
    private boolean arrived;
    private Attempt.@Nullable Failure lastFailure;

    /** Records a send; returns why the request was sent again, null for the first send. */
    Attempt.@Nullable Failure onSent() {
        Attempt.Failure cause = arrived ? lastFailure : null;
        arrived = true;
        sendCount++;
        return cause;
    }

    void onFailed(UpstreamLoad upstream, Attempt.Failure failure) {
        lastFailure = failure;
        triedIds.add(upstream.heartbeat().id());
    }

    /** Records that the address belongs to another upstream now, so it counts as not sent. */
    void onMisdirected() {
        sendCount--;
    }

    void onNotExecuted() {
        notExecutedCount++;
    }

    /** Returns whether the request may go to another upstream after it was not sent. */
    boolean tryRetryUnsent() {
        unsentCount++;
        return unsentCount <= MAX_UNSENT_RETRIES;
    }

    /** Returns the ids of the upstreams at which the request has failed. */
    Set<String> triedIds() {
        return triedIds;
    }

    int sendCount() {
        return sendCount;
    }

    boolean mayHaveExecuted() {
        return sendCount > notExecutedCount;
    }
}
