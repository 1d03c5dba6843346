package dev.jayturn.daemon.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Decodes and encodes the headers that callers, entry instances and upstreams exchange. */
public interface HeaderCodec {
    /**
     * Decodes the head of a caller's request.
     *
     * @throws MalformedRequestException if a header cannot be parsed
     */
    CallerRequest decode(HttpRequest head) throws MalformedRequestException;

    /**
     * Returns the headers of a request to an upstream: the caller's, without those that the
     * upstream must not see or that a caller must not set, and those for the metadata.
     */
    HttpHeaders upstreamHeaders(HttpRequest head, UpstreamRequestMetadata metadata);

    /** Returns the id of the request that a response answers; empty if it has none or several. */
    String responseRequestId(HttpResponse response);

    /** Returns the name of the header with the id of the request. */
    String requestIdHeader();

    /** Returns whether a response has one signature of an upstream. */
    boolean isSigned(HttpResponse response);

    /** Returns whether the upstream reports that it did not and will not execute the request. */
    boolean isNotExecuted(HttpResponse response);

    /**
     * Returns whether the response comes from another upstream, which has the address now and did
     * not execute the request.
     */
    boolean isMisdirected(HttpResponse response);

    /** Returns whether the upstream reports that it is leaving and wants no more requests. */
    boolean isLeaving(HttpResponse response);

    /**
     * Returns the time in milliseconds for which the upstream asks to get no more requests from
     * this instance; 0 if it does not, or if the value cannot be parsed.
     */
    long requestedPauseMillis(HttpResponse response);

    /**
     * Returns the number of requests per second that the upstream takes from all instances
     * together; infinity if it names no limit, NaN if the value cannot be parsed.
     */
    double requestRateLimit(HttpResponse response);

    /** Sets the request's id in a response that the entry instance creates itself. */
    void setRequestId(HttpHeaders headers, String requestId);
}
