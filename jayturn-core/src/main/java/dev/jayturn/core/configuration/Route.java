package dev.jayturn.core.configuration;

import java.util.List;

/**
 * Target services, timeouts and retry limits for requests of one host and path prefix.
 *
 * @param timeoutMillis maximum time until a request is answered
 * @param latencyObjectiveMillis latency objective of the answer; for streams, of the first event
 * @param eventGapObjectiveMillis objective for the gap between events of a stream; 0 if there is
 *     none
 * @param priority rank; 0 is the most urgent
 * @param serviceWeights services that share the requests, with their relative weights
 * @param maxAttempts maximum number of upstreams that one request is sent to
 * @param keyless whether requests need no API key
 * @param resumable whether another upstream may continue an interrupted stream
 * @param regions regions whose upstreams may get the requests
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
        boolean resumable,
        RegionSet regions) {
    /** Returns whether a request may be executed more than once. */
    public boolean isRepeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }
}
