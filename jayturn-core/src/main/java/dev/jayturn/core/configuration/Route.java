package dev.jayturn.core.configuration;

import java.util.List;

/**
 * Where requests of one host and path prefix go and how long they may take.
 *
 * @param timeoutMillis longest time that a request may stay unanswered
 * @param latencyObjectiveMillis latency objective of the answer, for streams of the first event
 * @param eventGapObjectiveMillis longest pause between events of a stream; 0 if there is none
 * @param priority rank, 0 is the most urgent
 * @param maxAttempts upstreams that one request may be sent to
 * @param keyless whether requests need no key
 * @param resumable whether a stream may go on at another upstream
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long latencyObjectiveMillis,
        long eventGapObjectiveMillis,
        int priority,
        List<ServiceWeight> serviceWeights,
        int maxAttempts,
        boolean keyless,
        boolean resumable) {
    /** Returns whether a request may run more than once. */
    public boolean isRepeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }
}
