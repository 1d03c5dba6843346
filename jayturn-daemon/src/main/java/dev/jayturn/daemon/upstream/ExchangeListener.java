package dev.jayturn.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response of an exchange with an upstream, on the event loop of the exchange. Unless
 * the exchange is aborted, exactly one of {@link #onCompleted}, {@link #onNotSent}, {@link
 * #onFailed} and {@link #onMisdirected} is called, once.
 */
public interface ExchangeListener {
    /** Handles the response head, whose request id matches the request. */
    void onHead(HttpResponse head);

    /** Handles a part of the body; the listener must release the buffer. */
    void onBody(ByteBuf content);

    /** Handles the end of a complete response. */
    void onCompleted();

    /** Handles a failure before any byte of the request was sent. */
    void onNotSent(String detail);

    /** Handles a failure after bytes of the request may have been sent. */
    void onFailed(String detail);

    /**
     * Handles a response that belongs to another request, as its request id shows. It was dropped
     * and ended the exchange.
     */
    void onMisdirected(String otherId);
}
