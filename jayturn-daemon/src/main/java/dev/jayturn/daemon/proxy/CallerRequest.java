package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.RequestProfile;

/**
 * The decoded head of a caller's request.
 *
 * @param id id of the request; empty if the caller set none
 * @param apiKey API key of the customer; empty if there is none
 * @param timeoutMillis time that the caller waits for the response; 0 if not set
 * @param lastEventId id of the event after which a stream is resumed; empty for a new stream
 * @param resumedRequestId id of the request whose response brought the first event of a resumed
 *     stream; empty if the caller does not name it
 */
public record CallerRequest(
        String id,
        String apiKey,
        long timeoutMillis,
        RequestProfile profile,
        String lastEventId,
        String resumedRequestId) {
    /** Bytes that a part of the prompt occupies, with its id. */
    private static final int PART_BYTES = 96;

    /** Returns about what the lists occupy that are decoded from the values of headers. */
    long valueBytes() {
        return (long) profile.parts().size() * PART_BYTES;
    }

    /** Returns how long the caller is kept waiting at a route with a timeout in milliseconds. */
    long timeoutMillis(long routeTimeoutMillis) {
        return timeoutMillis > 0 ? Math.min(routeTimeoutMillis, timeoutMillis) : routeTimeoutMillis;
    }

    /** Returns a part of the caller's timeout, limited to a maximum. */
    long partOfTimeoutMillis(int divisor, long maxMillis) {
        return timeoutMillis > 0 ? Math.min(maxMillis, timeoutMillis / divisor) : maxMillis;
    }
}
