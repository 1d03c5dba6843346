package dev.jayturn.daemon.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the headers that callers, instances and upstreams exchange. */
public interface HeaderCodec {
    /**
     * Reads a caller's request head.
     *
     * @throws MalformedRequestException if a header cannot be read
     */
    CallerRequest decode(HttpRequest head) throws MalformedRequestException;

    /** Returns the headers for an upstream: the caller's, less what is not for it to see or set. */
    HttpHeaders upstreamHeaders(HttpRequest head, UpstreamRequestMetadata call);

    /** Returns the id of the request that an upstream answers; empty if it names none. */
    String responseRequestId(HttpResponse response);

    /** Returns whether an answer bears its upstream's signature. */
    boolean isSigned(HttpResponse response);

    /** Returns whether the upstream says that it did not run the request and never will. */
    boolean isNotExecuted(HttpResponse response);

    /** Returns whether another upstream than the one that was meant has the address now. */
    boolean isMisdirected(HttpResponse response);

    /** Marks one of our own answers with the request's id. */
    void setRequestId(HttpHeaders headers, String requestId);
}
