package dev.jayturn.daemon.proxy;

/**
 * What an attempt sends to its upstream in addition to the caller's request.
 *
 * @param upstreamId id of the only upstream that may execute the request
 * @param customer name of the customer; empty if the route needs no API key
 * @param remainingMillis time until the deadline of the request
 * @param priority rank among the upstream's requests; 0 is the most urgent
 * @param lastEventId id of the event after which a stream is resumed; empty for a new stream
 */
public record UpstreamRequestMetadata(
        String upstreamId,
        String customer,
        long remainingMillis,
        int priority,
        String lastEventId) {}
