package dev.jayturn.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.limits.MemoryBudget;
import dev.jayturn.core.limits.SharedMemoryBudget;
import dev.jayturn.daemon.head.HeadMemory;
import dev.jayturn.daemon.head.RequestCodec;
import dev.jayturn.daemon.head.RequestGate;
import dev.jayturn.daemon.link.EventLoopTimers;
import dev.jayturn.daemon.link.ServerSockets;
import dev.jayturn.daemon.metrics.DirectMemory;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** A small HTTP server that passes each request with its complete body to a handler. */
final class HttpApiServer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    static final int MAX_BODY_BYTES = 8 << 20;

    /** The rest is for messages of other instances and for responses. */
    private static final double BODY_SHARE_OF_DIRECT_MEMORY = 0.5;

    private static final int IDLE_TIMEOUT_SECONDS = 30;

    private final EventLoop loop;
    private final CharSequence contentType;
    private final HttpHandler handler;
    private final int maxBodyBytes;
    private final MemoryBudget budget;
    private final HeadMemory headMemory;

    private HttpApiServer(
            EventLoop loop,
            CharSequence contentType,
            HttpHandler handler,
            int maxBodyBytes,
            HeadMemory headMemory) {
        this.headMemory = headMemory;
        this.loop = loop;
        this.contentType = contentType;
        this.handler = handler;
        this.maxBodyBytes = maxBodyBytes;
        this.budget =
                new SharedMemoryBudget(
                        new EventLoopTimers(loop),
                        (long) (DirectMemory.maxBytes() * BODY_SHARE_OF_DIRECT_MEMORY));
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
        ApiBodyLimiter limiter = new ApiBodyLimiter(budget, maxBodyBytes);
        RequestHandler requestHandler = new RequestHandler(channel, limiter);
        RequestCodec codec =
                new RequestCodec(new HttpDecoderConfig(), headMemory, "interface", requestHandler);
        requestHandler.setCodec(codec);
        channel.pipeline()
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
                .addLast(codec)
                .addLast(limiter)
                .addLast(new HttpObjectAggregator(maxBodyBytes))
                .addLast(requestHandler);
    }

    /** Handles one request at a time; those behind it wait until its response is written. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest>
            implements RequestGate {
        private final Channel channel;
        private final ApiBodyLimiter limiter;
        private @Nullable RequestCodec codec;
        private boolean running;

        RequestHandler(Channel channel, ApiBodyLimiter limiter) {
            this.channel = channel;
            this.limiter = limiter;
        }

        void setCodec(RequestCodec newCodec) {
            codec = newCodec;
        }

        private RequestCodec codec() {
            return Objects.requireNonNull(codec);
        }

        @Override
        public boolean isPaused() {
            // What follows a refused request is received to be discarded; its output is shut down.
            return !limiter.isRefusing() && (running || !channel.isWritable());
        }

        @Override
        public boolean isReadingStopped() {
            return false;
        }

        @Override
        public boolean isRunning() {
            return running;
        }

        @Override
        public void onHeadRefused() {
            limiter.refuse(HeadMemory.RETRY_AFTER_MILLIS);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            codec().resume();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            running = true;
            handler.handle(request, (status, body) -> respond(ctx, keepAlive, status, body));
            limiter.release();
        }

        private void respond(
                ChannelHandlerContext ctx, boolean keepAlive, int status, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            running = false;
            codec().releaseHead();
            if (keepAlive) {
                ctx.writeAndFlush(response);
                codec().resume();
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOGGER.atFine().withCause(cause).log("http: Connection failed.");
            ctx.close();
        }
    }
}
