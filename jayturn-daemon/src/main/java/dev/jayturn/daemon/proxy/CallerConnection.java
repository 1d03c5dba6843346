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

/** One caller's connection; its requests are answered one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Messages of requests sent ahead of their turn that are held before reading stops. */
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

    /** Closes the connection if its caller takes too long over a request or to send one. */
    void closeIfTimedOut(long nowMillis) {
        if (exchange != null || closing) {
            return;
        }
        RequestLimits limits = forwarder.limits();
        long idle = nowMillis - lastReadMillis;
        if (head != null && idle > limits.headerTimeoutMillis()) {
            context().close();
        } else if (head == null && idle > limits.idleTimeoutMillis()) {
            context().close();
        }
    }

    /** Closes the connection once nothing is open on it. */
    void closeWhenIdle() {
        keepAlive = false;
        if (exchange == null && head == null) {
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
        boolean doubled =
                received.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && received.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (doubled) {
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
        CompositeByteBuf gathered = body;
        HttpRequest received = head;
        CallerRequest read = request;
        if (gathered == null || received == null || read == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            reject(ResultCode.MALFORMED_REQUEST);
            return;
        }
        gathered.addComponent(true, content.content());
        if (gathered.readableBytes() > forwarder.limits().maxBodyBytes()) {
            reject(ResultCode.BODY_TOO_LARGE);
            return;
        }
        if (content instanceof LastHttpContent) {
            body = null;
            Exchange started = new Exchange(forwarder, this, received, read, gathered);
            exchange = started;
            started.start();
        }
    }

    /** Answers what is no proper request and reads nothing more. */
    private void reject(ResultCode code) {
        closing = true;
        keepAlive = false;
        releaseBody();
        FullHttpResponse answer = ErrorResponses.create(code, 0);
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context().writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    private void releaseBody() {
        CompositeByteBuf gathered = body;
        body = null;
        if (gathered != null) {
            gathered.release();
        }
    }

    void sendErrorResponse(String requestId, ResultCode code, long retryAfterMillis) {
        FullHttpResponse answer = ErrorResponses.create(code, retryAfterMillis);
        forwarder.codec().setRequestId(answer.headers(), requestId);
        setConnectionHeader(answer);
        context().writeAndFlush(answer);
    }

    void sendHead(HttpResponse upstreamHead) {
        DefaultHttpResponse answer =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, upstreamHead.status());
        HopByHopHeaders.copyEndToEnd(upstreamHead.headers(), answer.headers());
        if (!answer.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setTransferEncodingChunked(answer, true);
        }
        setConnectionHeader(answer);
        context().writeAndFlush(answer);
    }

    private void setConnectionHeader(HttpResponse answer) {
        if (forwarder.isDraining()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Passes on bytes of an answer, which this takes over. */
    void sendBody(ByteBuf bytes) {
        context().writeAndFlush(new DefaultHttpContent(bytes));
    }

    void sendEnd() {
        context().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Ends an answer so that it cannot be taken for a whole one. */
    void abortResponse() {
        closing = true;
        context().close();
    }

    void onExchangeEnded() {
        exchange = null;
        head = null;
        request = null;
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
        Exchange running = exchange;
        if (running != null) {
            running.onCallerWritabilityChanged(ctx.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.removeConnection(this);
        closing = true;
        releaseBody();
        pipelinedMessages.forEach(ReferenceCountUtil::release);
        pipelinedMessages.clear();
        Exchange running = exchange;
        if (running != null) {
            running.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.atFine().withCause(cause).log("proxy: A caller's connection failed.");
        ctx.close();
    }
}
