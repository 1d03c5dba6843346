package dev.jayturn.daemon.api;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.head.RequestCodec;
import dev.jayturn.daemon.head.RequestGate;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Handles the requests of one connection, one at a time, each with its complete body; those behind
 * it wait until its response is written.
 */
public final class ApiConnection extends SimpleChannelInboundHandler<FullHttpRequest>
        implements RequestGate {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Channel channel;
    private final RequestHandler handler;
    private final BodyLimiter limiter;
    private final boolean keepsBodies;
    private @Nullable RequestCodec codec;
    private boolean running;

    private ApiConnection(
            Channel channel, RequestHandler handler, BodyLimiter limiter, boolean keepsBodies) {
        this.channel = channel;
        this.handler = handler;
        this.limiter = limiter;
        this.keepsBodies = keepsBodies;
    }

    /** Adds the handlers of a connection, whose requests are passed to a handler. */
    public static void init(Channel channel, ApiLimits limits, RequestHandler handler) {
        BodyLimiter limiter =
                new BodyLimiter(
                        limits.bodies(), limits.maxBodyBytes(), ApiConnection::createRefusal);
        ApiConnection connection =
                new ApiConnection(channel, handler, limiter, limits.keepsBodies());
        RequestCodec codec =
                new RequestCodec(
                        new HttpDecoderConfig(), limits.heads(), limits.part(), connection);
        connection.codec = codec;
        channel.pipeline()
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
                .addLast(codec)
                .addLast(limiter)
                .addLast(new HttpObjectAggregator(limits.maxBodyBytes()))
                .addLast(connection);
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
        limiter.refuseHead();
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
        handler.handle(
                request,
                (status, contentType, body) ->
                        respondOnLoop(ctx, keepAlive, createResponse(status, contentType, body)));
        if (!keepsBodies) {
            limiter.release();
        }
    }

    private static FullHttpResponse createRefusal(
            @Nullable HttpRequest head, ResultCode code, long retryAfterMillis) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(code.httpStatus()),
                        Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        // A caller whose body finds no memory asks another instance at once.
        if (code == ResultCode.HEADS_FULL) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }

    private static FullHttpResponse createResponse(
            int status, CharSequence contentType, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    private void respondOnLoop(
            ChannelHandlerContext ctx, boolean keepAlive, FullHttpResponse response) {
        if (ctx.executor().inEventLoop()) {
            respond(ctx, keepAlive, response);
        } else {
            ctx.executor().execute(() -> respond(ctx, keepAlive, response));
        }
    }

    private void respond(ChannelHandlerContext ctx, boolean keepAlive, FullHttpResponse response) {
        running = false;
        limiter.release();
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
