package dev.jayturn.daemon.api;

import io.netty.handler.codec.http.FullHttpRequest;

/** Handles the requests of one address. */
public interface RequestHandler {
    /** Sends the response to one request; call it once. */
    interface Responder {
        /** Sends a status and a body, on any thread. */
        void send(int status, CharSequence contentType, byte[] body);
    }

    /**
     * Handles a request, which is released when this method returns; the response may be sent
     * later.
     */
    void handle(FullHttpRequest request, Responder responder);
}
