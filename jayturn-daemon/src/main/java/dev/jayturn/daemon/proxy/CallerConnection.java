package dev.jayturn.daemon.proxy;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.configuration.RequestLimits;
import dev.jayturn.core.limits.MemoryBudget;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.head.HeadMemory;
import dev.jayturn.daemon.head.RequestCodec;
import dev.jayturn.daemon.head.RequestGate;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.internal.OutOfDirectMemoryError;
import java.io.IOException;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import org.jspecify.annotations.Nullable;

/** A connection of a caller; its requests are processed one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements MemoryBudget.Callback, RequestGate {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Time in which a body has to arrive if the caller does not say how long it waits. */
    private static final long MAX_BODY_MILLIS = 15_000;

    /** Maximum time that a body waits unread for memory. */
    private static final long MAX_MEMORY_WAIT_MILLIS = 800;

    /** The wait for memory is also limited to the caller's timeout divided by this. */
    private static final int MEMORY_WAIT_DIVISOR = 4;

    /** Time for a caller to receive a response although it is still sending its request. */
    private static final long LINGER_MILLIS = 2_000;

    private final Forwarder forwarder;
    private final ProxyServer server;
    private final BodyParts output = new BodyParts();
    private final PipelinedMessages pipelinedMessages = new PipelinedMessages();
    private @Nullable ChannelHandlerContext context;
    private @Nullable RequestCodec codec;
    private @Nullable HttpRequest head;
    private @Nullable CallerRequest request;
    private @Nullable RequestBody body;
    private @Nullable Exchange exchange;
    private boolean keepAlive = true;
    private boolean closing;
    private boolean continueSent;
    private @Nullable ChannelFuture lingeringResponse;
    private long lastUsedMillis;
    private long headMillis;
    private long closingMillis;

    CallerConnection(Forwarder forwarder, ProxyServer server) {
        this.forwarder = forwarder;
        this.server = server;
    }

    void setCodec(RequestCodec newCodec) {
        codec = newCodec;
    }

    private RequestCodec codec() {
        return Objects.requireNonNull(codec);
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
        lastUsedMillis = forwarder.timers().nowMillis();
        server.addConnection(this);
    }

    /** Closes the connection if the caller is too slow to send a request, or sends none. */
    void closeIfTimedOut(long nowMillis) {
        RequestLimits limits = forwarder.limits();
        long idleMillis = nowMillis - lastUsedMillis;
        if (exchange != null || isWaitingForMemory()) {
            return;
        }
        if (closing) {
            boolean lingers = lingeringResponse != null && output.isFlushed();
            long maxMillis = lingers ? LINGER_MILLIS : limits.idleTimeoutMillis();
            if (nowMillis - closingMillis > maxMillis) {
                context().close();
            }
        } else if (head != null && nowMillis - headMillis > maxBodyMillis()) {
            reject(ResultCode.BODY_TIMEOUT, 0);
        } else if (head != null && idleMillis > limits.headerTimeoutMillis()) {
            context().close();
        } else if (head == null && idleMillis > limits.idleTimeoutMillis()) {
            context().close();
        }
    }

    private boolean isWaitingForMemory() {
        RequestBody bodySoFar = body;
        return bodySoFar != null && bodySoFar.isWaiting();
    }

    private long maxBodyMillis() {
        CallerRequest decoded = request;
        return decoded == null || decoded.timeoutMillis() == 0
                ? MAX_BODY_MILLIS
                : decoded.timeoutMillis();
    }

    private long maxMemoryWaitMillis() {
        CallerRequest decoded = request;
        return decoded == null
                ? 0
                : decoded.partOfTimeoutMillis(MEMORY_WAIT_DIVISOR, MAX_MEMORY_WAIT_MILLIS);
    }

    /**
     * Closes the connection if no request is in progress, none has come since a time, and the
     * caller's socket has taken all responses. Otherwise it is closed after the response in
     * progress, even if that began as one that keeps it open.
     */
    void closeWhenIdle(long sinceMillis) {
        keepAlive = false;
        boolean idle = exchange == null && head == null && output.isFlushed();
        if (idle && !closing && lastUsedMillis <= sinceMillis) {
            context().close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastUsedMillis = forwarder.timers().nowMillis();
        if (closing) {
            ChannelFuture response = lingeringResponse;
            if (response != null && message instanceof LastHttpContent) {
                response.addListener(ChannelFutureListener.CLOSE);
            }
            ReferenceCountUtil.release(message);
            return;
        }
        if (isBusy() || !pipelinedMessages.isEmpty()) {
            pipelinedMessages.add(message);
            return;
        }
        accept(ctx, message);
    }

    /**
     * Returns whether the next request has to wait: one is in progress, or the caller does not read
     * the responses that it has got so far, which would fill the memory.
     */
    private boolean isBusy() {
        return exchange != null || isWaitingForMemory() || !isWritable();
    }

    @Override
    public boolean isPaused() {
        return !closing && (isBusy() || !pipelinedMessages.isEmpty());
    }

    @Override
    public boolean isReadingStopped() {
        return !closing && isWaitingForMemory();
    }

    @Override
    public boolean isRunning() {
        return exchange != null;
    }

    @Override
    public void onHeadRefused() {
        if (!closing) {
            reject(ResultCode.HEADS_FULL, HeadMemory.RETRY_AFTER_MILLIS);
        }
    }

    /** Returns whether the caller reads as fast as it is sent to. */
    boolean isWritable() {
        return context().channel().isWritable();
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
            reject(tooLong ? ResultCode.HEADERS_TOO_LARGE : ResultCode.MALFORMED_REQUEST, 0);
            return;
        }
        if (RequestBody.isLengthAmbiguous(received)) {
            reject(ResultCode.MALFORMED_REQUEST, 0);
            return;
        }
        try {
            CallerRequest decoded = forwarder.codec().decode(received);
            request = decoded;
            codec().claimValues(decoded.valueBytes());
        } catch (MalformedRequestException e) {
            reject(ResultCode.MALFORMED_REQUEST, 0);
        }
        if (closing) {
            return;
        }
        head = received;
        headMillis = forwarder.timers().nowMillis();
        keepAlive = HttpUtil.isKeepAlive(received);
        long maxBytes = forwarder.maxBodyBytes();
        long declaredBytes = RequestBody.declaredBytes(received);
        if (declaredBytes > maxBytes) {
            reject(ResultCode.BODY_TOO_LARGE, 0);
            return;
        }
        RequestBody newBody =
                new RequestBody(forwarder.bodyMemory(), ctx.alloc(), declaredBytes, maxBytes, this);
        body = newBody;
        newBody.claim(maxMemoryWaitMillis());
        if (newBody.isWaiting()) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void onGranted() {
        HttpRequest received = head;
        if (!continueSent && received != null && HttpUtil.is100ContinueExpected(received)) {
            continueSent = true;
            codec().askToContinue();
        }
        resumeReading();
    }

    @Override
    public void onRejected(long retryAfterMillis) {
        RequestBody rejected = body;
        CallerRequest decoded = request;
        if (rejected != null && decoded != null) {
            forwarder.bodyMemory().onRejected(decoded.id(), rejected.claimedBytes());
        }
        reject(ResultCode.MEMORY_FULL, retryAfterMillis);
        resumeReading();
    }

    private void resumeReading() {
        if (pipelinedMessages.isEmpty()) {
            codec().resume();
        } else {
            context().executor().execute(this::acceptPipelined);
        }
    }

    private void acceptBody(HttpContent content) {
        RequestBody bodySoFar = body;
        HttpRequest received = head;
        CallerRequest decoded = request;
        if (bodySoFar == null || received == null || decoded == null) {
            content.release();
            return;
        }
        if (bodySoFar.isWaiting()) {
            postpone(content);
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            reject(ResultCode.MALFORMED_REQUEST, 0);
            return;
        }
        int bytes = BodyParts.bytesOf(content);
        if (bodySoFar.exceedsMaximum(bytes)) {
            content.release();
            reject(ResultCode.BODY_TOO_LARGE, 0);
            return;
        }
        if (!bodySoFar.hasRoom(bytes)) {
            postpone(content);
            bodySoFar.claimMaximum(maxMemoryWaitMillis());
            return;
        }
        try {
            bodySoFar.append(content.content());
        } catch (OutOfDirectMemoryError e) {
            // The part would be missing in the body.
            onRejected(0);
            return;
        } finally {
            content.release();
        }
        if (content instanceof LastHttpContent) {
            body = null;
            HttpRequest compact = codec().compact(received);
            head = compact;
            Exchange newExchange =
                    new Exchange(
                            forwarder, this, compact, decoded, bodySoFar.complete(), headMillis);
            exchange = newExchange;
            // The read that is in progress may find that the caller has left.
            context().executor().execute(() -> startIfConnected(newExchange));
        }
    }

    private void startIfConnected(Exchange newExchange) {
        if (context().channel().isActive()) {
            newExchange.start();
        }
    }

    /** Keeps a part of a body until there is memory for it; nothing more is read meanwhile. */
    private void postpone(HttpContent content) {
        pipelinedMessages.addFirst(content);
        context().channel().config().setAutoRead(false);
    }

    /**
     * Refuses a request that is malformed, oversized or not read, and closes the connection. What
     * the caller still sends is discarded for a while; to close earlier would reset the connection,
     * and the caller might lose the response.
     */
    private void reject(ResultCode code, long retryAfterMillis) {
        closing = true;
        closingMillis = forwarder.timers().nowMillis();
        keepAlive = false;
        releaseBody();
        pipelinedMessages.discard();
        FullHttpResponse response = ErrorResponses.create(code, retryAfterMillis);
        CallerRequest decoded = request;
        if (decoded != null) {
            forwarder.codec().setRequestId(response.headers(), decoded.id());
        }
        request = null;
        head = null;
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ChannelFuture sent = output.writeAndFlush(context(), response);
        lingeringResponse = sent;
        sent.addListener(
                done -> {
                    closingMillis = forwarder.timers().nowMillis();
                    if (done.isSuccess() && context().channel() instanceof DuplexChannel channel) {
                        channel.shutdownOutput();
                    }
                });
        codec().resume();
    }

    private void releaseBody() {
        RequestBody bodySoFar = body;
        body = null;
        if (bodySoFar != null) {
            bodySoFar.release();
        }
    }

    void sendErrorResponse(String requestId, ResultCode code, long retryAfterMillis) {
        FullHttpResponse response = ErrorResponses.create(code, retryAfterMillis);
        forwarder.codec().setRequestId(response.headers(), requestId);
        setConnectionHeader(response);
        sendLast(response);
    }

    void sendHead(HttpResponse upstreamHead) {
        HttpResponse response = HopByHopHeaders.endToEndCopy(upstreamHead);
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

    /**
     * Sends bytes of a response body with the next {@link #flushBody}; takes ownership of the
     * buffer.
     */
    void sendBody(ByteBuf bytes) {
        output.add(context(), bytes);
    }

    /** Sends the parts of the body so far. */
    void flushBody() {
        output.write(context());
        context().flush();
    }

    void sendEnd() {
        sendLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** The connection is in use until the caller's socket has taken the whole response. */
    private void sendLast(Object message) {
        output.writeAndFlush(context(), message)
                .addListener(done -> lastUsedMillis = forwarder.timers().nowMillis());
    }

    /** Closes the connection, so that the caller cannot take the response for a complete one. */
    void abortResponse() {
        closing = true;
        closingMillis = forwarder.timers().nowMillis();
        output.closeAfterFlush(context());
    }

    void onExchangeEnded() {
        codec().releaseHead();
        exchange = null;
        head = null;
        request = null;
        continueSent = false;
        lastUsedMillis = forwarder.timers().nowMillis();
        if (closing) {
            return;
        }
        if (!keepAlive) {
            closing = true;
            closingMillis = lastUsedMillis;
            output.closeAfterFlush(context());
            return;
        }
        resumeReading();
    }

    private void acceptPipelined() {
        while (!isBusy() && !closing && !pipelinedMessages.isEmpty()) {
            accept(context(), pipelinedMessages.remove());
        }
        codec().resume();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        Exchange current = exchange;
        if (current != null) {
            current.onCallerWritabilityChanged(isWritable());
        } else if (isWritable() && !closing) {
            resumeReading();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.removeConnection(this);
        closing = true;
        releaseBody();
        pipelinedMessages.discard();
        output.release();
        Exchange current = exchange;
        if (current != null) {
            current.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // Callers reset connections all the time; anything else is unexpected.
        LOGGER.at(cause instanceof IOException ? Level.FINE : Level.WARNING).withCause(cause)
                .atMostEvery(1, TimeUnit.SECONDS).log("proxy: Connection of a caller failed.");
        if (cause instanceof OutOfMemoryError) {
            forwarder.bodyMemory().onRejected(request == null ? "" : request.id(), 0);
        }
        ctx.close();
    }
}
