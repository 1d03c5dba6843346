package dev.jayturn.daemon.fleet;

import io.netty.handler.codec.http.FullHttpRequest;

/** Answers calls of operators, upstreams and the balancer. */
public interface HttpHandler {
    /** Handles a call; the request is released when this returns, the reply may come later. */
    void handle(FullHttpRequest request, HttpResponder reply);
}
