package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.resumption.OriginCallback;
import dev.jayturn.core.resumption.StreamId;
import dev.jayturn.core.resumption.StreamOrigin;
import dev.jayturn.core.resumption.StreamOrigins;

/** Finds and records which software began the stream of one request. */
final class StreamRecord {
    private static final long MAX_SEARCH_MILLIS = 400;

    /** A search is also limited to the time until the request's deadline divided by this. */
    private static final int SEARCH_DIVISOR = 4;

    /** Time beyond the caller's own for which a record is kept. */
    private static final long LIFETIME_MARGIN_MILLIS = 5_000;

    private final Forwarder forwarder;
    private final CallerRequest request;

    StreamRecord(Forwarder forwarder, CallerRequest request) {
        this.forwarder = forwarder;
        this.request = request;
    }

    /** Searches the origin of the stream that the request resumes. */
    void find(String customer, long remainingMillis, OriginCallback callback) {
        StreamOrigins origins = forwarder.streamOrigins();
        if (origins == null || request.resumedRequestId().isEmpty()) {
            callback.onNotFound(true);
            return;
        }
        origins.find(
                StreamId.of(customer, request.resumedRequestId()),
                Math.min(MAX_SEARCH_MILLIS, remainingMillis / SEARCH_DIVISOR),
                callback);
    }

    /** Records the origin of the stream if the route allows that callers resume it. */
    void put(String customer, Route route, StreamOrigin origin) {
        StreamOrigins origins = forwarder.streamOrigins();
        String firstRequest =
                request.lastEventId().isEmpty() ? request.id() : request.resumedRequestId();
        if (origins != null && route.isRepeatable() && !firstRequest.isEmpty()) {
            long lifetimeMillis = Math.max(route.timeoutMillis(), request.timeoutMillis());
            origins.put(
                    StreamId.of(customer, firstRequest),
                    origin,
                    lifetimeMillis + LIFETIME_MARGIN_MILLIS);
        }
    }
}
