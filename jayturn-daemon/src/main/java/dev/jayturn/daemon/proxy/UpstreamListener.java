package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the progress of one attempt at an upstream. Unless the attempt is cancelled or ends
 * itself, the last call is {@link #onUnreachable}, {@link #onUnattributableResponse}, {@link
 * #onResponseComplete} or {@link #onResponseIncomplete}.
 */
interface UpstreamListener {
    /**
     * Called when a connection is open, just before the request is written to it.
     *
     * @return whether to write the request; if not, this is the last call
     */
    boolean onConnected();

    /** Returns whether the response may be read now; the listener resumes reading otherwise. */
    boolean acceptsBytes();

    /** Called when no connection could be opened, so that nothing was sent. */
    void onUnreachable();

    /**
     * Called when a response was received that may belong to another request, or has a malformed
     * head, so that nothing is known about this one; the connection is closed.
     */
    void onUnattributableResponse();

    /** Called with the head of the response. */
    void onResponseHead(HttpResponse head);

    /** Called with bytes of the response body, which the caller of this method releases. */
    void onResponseBody(ByteBuf bytes);

    /** Called when all bytes that had arrived have been passed on. */
    void onReadComplete();

    /** Called when the complete response has been received. */
    void onResponseComplete();

    /** Called when the connection ended before a complete and valid response was received. */
    void onResponseIncomplete();
}
