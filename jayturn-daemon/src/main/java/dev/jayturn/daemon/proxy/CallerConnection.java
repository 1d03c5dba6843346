package dev.jayturn.daemon.proxy;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.configuration.RequestLimits;
import dev.jayturn.core.result.ResultCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** A connection of a caller; its requests are processed one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Number of queued messages of pipelined requests above which reading stops; also the maximum
     * number of parts of a body buffer, above which they are merged.
     */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    private final Forwarder forwarder;
    private final ProxyServer server;
    private final Deque<Object> pipelinedMessages = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;
    private @Nullable CallerRequest request;
    private @Nullable CompositeByteBuf body;
    private @Nullable Exchange exchange;
    private boolean keepAlive = true;
    private boolean closing;
    private long lastReadMillis;
    private int heldBodyBytes;

    CallerConnection(Forwarder forwarder, ProxyServer server) {
        this.forwarder = forwarder;
        this.server = server;
    }

    ByteBufAllocator allocator() {
        return context().alloc();
    }

    private ChannelHandlerContext context() {
        ChannelHandlerContext ctx = context;
        if (ctx == null) {
            throw new IllegalStateException("the connection is not open");
        }
        return ctx;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        lastReadMillis = forwarder.timers().nowMillis();
        server.addConnection(this);
    }

    /** Closes the connection if the caller is too slow to send a request, or sends none. */
    void closeIfTimedOut(long nowMillis) {
        if (exchange != null || closing) {
            return;
        }
        RequestLimits limits = forwarder.limits();
        long idleMillis = nowMillis - lastReadMillis;
        if (head != null && idleMillis > limits.headerTimeoutMillis()) {
            context().close();
        } else if (head == null && idleMillis > limits.idleTimeoutMillis()) {
            context().close();
        }
    }

    /**
     * Closes the connection if no request is in progress and none has come since a time. Otherwise
     * it is closed after the response in progress, even if that began as one that keeps it open.
     */
    void closeWhenIdle(long sinceMillis) {
        keepAlive = false;
        if (exchange == null && head == null && lastReadMillis <= sinceMillis) {
            context().close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastReadMillis = forwarder.timers().nowMillis();
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (exchange != null) {
            pipelinedMessages.add(message);
            if (pipelinedMessages.size() > MAX_PIPELINED_MESSAGES) {
                ctx.channel().config().setAutoRead(false);
            }
            return;
        }
        accept(ctx, message);
    }

    private void accept(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest received) {
            acceptHead(ctx, received);
        }
        if (message instanceof HttpContent content) {
            acceptBody(content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    private void acceptHead(ChannelHandlerContext ctx, HttpRequest received) {
        if (received.decoderResult().isFailure()) {
            boolean tooLong =
                    received.decoderResult().cause() instanceof TooLongHttpHeaderException;
            reject(tooLong ? ResultCode.HEADERS_TOO_LARGE : ResultCode.MALFORMED_REQUEST);
            return;
        }
        // Two lengths for one body would allow request smuggling.
        boolean ambiguousLength =
                received.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && received.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (ambiguousLength) {
            reject(ResultCode.MALFORMED_REQUEST);
            return;
        }
        try {
            request = forwarder.codec().decode(received);
        } catch (MalformedRequestException e) {
            reject(ResultCode.MALFORMED_REQUEST);
            return;
        }
        head = received;
        keepAlive = HttpUtil.isKeepAlive(received);
        body = ctx.alloc().compositeBuffer(MAX_PIPELINED_MESSAGES);
        if (HttpUtil.is100ContinueExpected(received)) {
            ctx.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void acceptBody(HttpContent content) {
        CompositeByteBuf bodySoFar = body;
        HttpRequest received = head;
        CallerRequest decoded = request;
        if (bodySoFar == null || received == null || decoded == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            reject(ResultCode.MALFORMED_REQUEST);
            return;
        }
        heldBodyBytes += content.content().readableBytes();
        forwarder.onBodyBytes(content.content().readableBytes());
        bodySoFar.addComponent(true, content.content());
        if (bodySoFar.readableBytes() > forwarder.limits().maxBodyBytes()) {
            reject(ResultCode.BODY_TOO_LARGE);
            return;
        }
        if (content instanceof LastHttpContent) {
            body = null;
            Exchange newExchange = new Exchange(forwarder, this, received, decoded, bodySoFar);
            exchange = newExchange;
            newExchange.start();
        }
    }

    /** Refuses a malformed or oversized request and closes the connection. */
    private void reject(ResultCode code) {
        closing = true;
        keepAlive = false;
        releaseBody();
        FullHttpResponse response = ErrorResponses.create(code, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context().writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void releaseBody() {
        CompositeByteBuf bodySoFar = body;
        body = null;
        if (bodySoFar != null) {
            bodySoFar.release();
            onBodyReleased();
        }
    }

    private void onBodyReleased() {
        forwarder.onBodyBytes(-heldBodyBytes);
        heldBodyBytes = 0;
    }

    void sendErrorResponse(String requestId, ResultCode code, long retryAfterMillis) {
        FullHttpResponse response = ErrorResponses.create(code, retryAfterMillis);
        forwarder.codec().setRequestId(response.headers(), requestId);
        setConnectionHeader(response);
        context().writeAndFlush(response);
    }

    void sendHead(HttpResponse upstreamHead) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, upstreamHead.status());
        HopByHopHeaders.copyEndToEnd(upstreamHead.headers(), response.headers());
        if (!response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        setConnectionHeader(response);
        context().writeAndFlush(response);
    }

    private void setConnectionHeader(HttpResponse response) {
        if (forwarder.isDraining()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Sends bytes of a response body; takes ownership of the buffer. */
    void sendBody(ByteBuf bytes) {
        context().writeAndFlush(new DefaultHttpContent(bytes));
    }

    void sendEnd() {
        context().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Closes the connection, so that the caller cannot take the response for a complete one. */
    void abortResponse() {
        closing = true;
        context().close();
    }

    void onExchangeEnded() {
        exchange = null;
        head = null;
        request = null;
        onBodyReleased();
        lastReadMillis = forwarder.timers().nowMillis();
        if (closing) {
            return;
        }
        if (!keepAlive) {
            closing = true;
            context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        context().channel().config().setAutoRead(true);
        context().executor().execute(this::acceptPipelined);
    }

    private void acceptPipelined() {
        while (exchange == null && !closing && !pipelinedMessages.isEmpty()) {
            accept(context(), pipelinedMessages.remove());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        Exchange current = exchange;
        if (current != null) {
            current.onCallerWritabilityChanged(ctx.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.removeConnection(this);
        closing = true;
        releaseBody();
        pipelinedMessages.forEach(ReferenceCountUtil::release);
        pipelinedMessages.clear();
        Exchange current = exchange;
        if (current != null) {
            current.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.atFine().withCause(cause).log("proxy: Connection of a caller failed.");
        if (cause instanceof OutOfMemoryError) {
            forwarder.onMemoryShort();
        }
        ctx.close();
    }
}
