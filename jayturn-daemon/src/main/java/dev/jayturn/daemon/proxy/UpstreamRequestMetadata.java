package dev.jayturn.daemon.proxy;

/**
 * What one attempt tells its upstream beside the caller's own request.
 *
 * @param upstreamId the only upstream that may run it
 * @param customer empty if the route needs no key
 * @param priority rank among the upstream's requests, 0 is the most urgent
 * @param lastEventId event after which a stream goes on; empty for a new one
 */
public record UpstreamRequestMetadata(
        String upstreamId,
        String customer,
        long remainingMillis,
        int priority,
        String lastEventId) {}
