package dev.jayturn.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Told of an exchange with an upstream, on its event loop; one of the ends comes exactly once. */
public interface ExchangeListener {
    /** The answer's head came, bound to the request's id. */
    void onHead(HttpResponse head);

    /** A part of the body came; the listener owns the buffer. */
    void onBody(ByteBuf content);

    /** The answer is whole. */
    void onCompleted();

    /** No byte of the request was sent. */
    void onNotSent(String detail);

    /** The exchange failed after bytes were sent. */
    void onFailed(String detail);

    /** An answer that belongs to another request came and was dropped; the exchange is over. */
    void onMisdirected(String otherId);
}
