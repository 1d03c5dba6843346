package dev.jayturn.daemon.fleet;

import io.netty.handler.codec.http.FullHttpRequest;

/** Handles HTTP requests of operators, upstreams, the balancer and metrics scrapers. */
public interface HttpHandler {
    /**
     * Handles a request, which is released when this method returns; the response may be sent
     * later.
     */
    void handle(FullHttpRequest request, HttpResponder responder);
}
