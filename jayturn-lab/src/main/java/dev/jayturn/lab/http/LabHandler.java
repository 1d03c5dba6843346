package dev.jayturn.lab.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;

/** Handles the requests to a lab server; called on the channel's event loop. */
public interface LabHandler {
    /** Handles a request and writes the complete response to the channel. */
    void handle(Channel channel, FullHttpRequest request);
}
