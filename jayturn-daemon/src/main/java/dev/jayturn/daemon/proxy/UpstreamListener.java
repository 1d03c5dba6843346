package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Told how one attempt at an upstream goes; ends with one of done and broken. */
interface UpstreamListener {
    /** The attempt has a connection and is sent now. */
    void onSent();

    /** No connection could be had, so nothing was sent. */
    void onUnreachable();

    /** The answer's head. */
    void onResponseHead(HttpResponse head);

    /** Bytes of the answer's body; the caller of this method releases them. */
    void onResponseBody(ByteBuf bytes);

    /** The whole answer has come. */
    void onResponseComplete();

    /** The connection ended, or what came is no answer, before the answer was whole. */
    void onResponseIncomplete();
}
