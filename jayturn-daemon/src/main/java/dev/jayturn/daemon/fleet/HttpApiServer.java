package dev.jayturn.daemon.fleet;

import dev.jayturn.core.limits.MemoryBudget;
import dev.jayturn.core.limits.SharedMemoryBudget;
import dev.jayturn.daemon.api.ApiConnection;
import dev.jayturn.daemon.api.ApiLimits;
import dev.jayturn.daemon.api.RequestHandler;
import dev.jayturn.daemon.head.HeadMemory;
import dev.jayturn.daemon.link.EventLoopTimers;
import dev.jayturn.daemon.link.ServerSockets;
import dev.jayturn.daemon.metrics.DirectMemory;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.net.InetSocketAddress;

/** A small HTTP server that passes each request with its complete body to a handler. */
final class HttpApiServer {
    static final int MAX_BODY_BYTES = 8 << 20;

    private static final String PART = "interface";

    /** The rest is for messages of other instances and for responses. */
    private static final double BODY_SHARE_OF_DIRECT_MEMORY = 0.5;

    private final EventLoop loop;
    private final RequestHandler handler;
    private final ApiLimits limits;

    private HttpApiServer(
            EventLoop loop,
            CharSequence contentType,
            HttpHandler handler,
            int maxBodyBytes,
            HeadMemory headMemory) {
        this.loop = loop;
        this.handler =
                (request, responder) ->
                        handler.handle(
                                request,
                                (status, body) -> responder.send(status, contentType, body));
        long bodyBytes = (long) (DirectMemory.maxBytes() * BODY_SHARE_OF_DIRECT_MEMORY);
        this.limits =
                new ApiLimits(
                        PART,
                        headMemory,
                        new SharedMemoryBudget(new EventLoopTimers(loop), bodyBytes),
                        maxBodyBytes,
                        false);
    }

    /** Creates a server whose requests may have long bodies. */
    static HttpApiServer forDocuments(EventLoop loop, HttpHandler handler, HeadMemory headMemory) {
        return new HttpApiServer(
                loop, HttpHeaderValues.APPLICATION_JSON, handler, MAX_BODY_BYTES, headMemory);
    }

    /** Creates a server whose requests have no bodies, or short ones. */
    HttpApiServer(
            EventLoop loop, CharSequence contentType, HttpHandler handler, HeadMemory headMemory) {
        this(loop, contentType, handler, MemoryBudget.SHORT_CLAIM_BYTES, headMemory);
    }

    /** Listens at an address; the process ends if it cannot be bound. */
    void listen(InetSocketAddress address) {
        ServerSockets.listen(loop, address, this::initPipeline);
    }

    /** Listens at an address; the process goes on if it cannot be bound. */
    void listenOptionally(InetSocketAddress address) {
        ServerSockets.listenOptionally(loop, address, this::initPipeline);
    }

    private void initPipeline(Channel channel) {
        ApiConnection.init(channel, limits, handler);
    }
}
