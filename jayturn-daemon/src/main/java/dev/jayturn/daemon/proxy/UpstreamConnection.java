package dev.jayturn.daemon.proxy;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.upstream.EmbeddedHeadScanner;
import dev.jayturn.daemon.upstream.ResponseFault;
import dev.jayturn.daemon.upstream.ResponseHeadCheck;
import dev.jayturn.daemon.upstream.UpstreamResponseDecoder;
import dev.jayturn.daemon.upstream.UpstreamSocket;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** A connection to an upstream, which is used for one request at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Idle time after which a connection is not reused if its upstream does not specify one. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

    /**
     * Subtracted from the idle timeout that an upstream specifies, so that no request is sent while
     * the upstream closes the connection.
     */
    private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 1_000;

    /** Longer idle timeouts are shortened to this. */
    private static final long MAX_IDLE_TIMEOUT_SECONDS = 3_600;

    /**
     * Limits on what is read and discarded for one request: informational responses, responses to
     * other requests, and the body of a response that is not forwarded. A faulty upstream may send
     * such bytes without end.
     */
    private static final int MAX_SKIPPED_RESPONSES = 8;

    private static final int MAX_SKIPPED_BYTES = 64 * 1_024;

    private static final long MAX_DISCARD_MILLIS = 1_000;

    private final UpstreamConnectionPool pool;
    private final HeaderCodec codec;
    private final UpstreamSocket channel;
    private final UpstreamResponseDecoder decoder;
    private final TimerService timers;
    private final CarriedIds carriedIds = new CarriedIds();
    private EmbeddedHeadScanner bodyScanner;
    private @Nullable UpstreamListener listener;
    private String requestId = "";
    private boolean requestWritten;
    private boolean headReceived;
    private boolean skippingResponse;
    private boolean strayReceived;
    private boolean discardingResponse;
    private int skippedResponses;
    private int skippedBytes;
    private @Nullable Cancellable discardTimer;
    private ResponseFault fault = ResponseFault.NONE;
    private Framing framing = Framing.UNKNOWN;
    private boolean identified;
    private boolean keepAlive;
    private boolean closeDelimited;
    private boolean connectionFailed;
    private boolean awaitingReset;
    private boolean awaitingRestOfHead;
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private long idleSinceMillis;

    /** What shows the end of a response. */
    enum Framing {
        /** No head was received. */
        UNKNOWN,
        BODILESS,
        LENGTH,
        CHUNKED,
        CLOSE
    }

    UpstreamConnection(
            UpstreamConnectionPool pool,
            HeaderCodec codec,
            UpstreamSocket channel,
            UpstreamResponseDecoder decoder,
            TimerService timers) {
        this.pool = pool;
        this.codec = codec;
        this.channel = channel;
        this.decoder = decoder;
        this.timers = timers;
        this.bodyScanner = newScanner();
    }

    private EmbeddedHeadScanner newScanner() {
        return new EmbeddedHeadScanner(codec.requestIdHeader(), carriedIds::contains);
    }

    Channel channel() {
        return channel;
    }

    /** Returns whether only the end of the connection ends the body of the current response. */
    boolean isCloseDelimited() {
        return closeDelimited;
    }

    /** Returns why the response to the current or last request was not accepted. */
    ResponseFault fault() {
        return fault;
    }

    /** Returns what shows the end of the response to the current or last request. */
    Framing framing() {
        return framing;
    }

    /** Returns whether the response to the current or last request has an id. */
    boolean isIdentified() {
        return identified;
    }

    /** Returns the number of requests that were sent before the current or last one. */
    int earlierRequests() {
        return Math.max(0, carriedIds.size() - 1);
    }

    void setIdleSince(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    /** Returns whether the connection is open and its idle timeout has not passed. */
    boolean isUsable(long nowMillis) {
        return channel.isActive() && nowMillis - idleSinceMillis < idleTimeoutMillis;
    }

    /** Returns whether the connection can carry a request, without a response to an earlier one. */
    boolean canCarry(String id, long nowMillis) {
        return isUsable(nowMillis) && carriedIds.admits(id) && channel.isQuiet();
    }

    /**
     * Sends a request, unless the listener no longer wants it sent. The listener receives the
     * progress and the response.
     */
    void send(Supplier<FullHttpRequest> source, String id, UpstreamListener responseListener) {
        if (!responseListener.onConnected()) {
            pool.release(this);
            return;
        }
        FullHttpRequest request = source.get();
        listener = responseListener;
        requestId = id;
        carriedIds.add(id);
        decoder.onRequest(request.method());
        requestWritten = false;
        headReceived = false;
        bodyScanner = newScanner();
        fault = ResponseFault.NONE;
        framing = Framing.UNKNOWN;
        identified = false;
        keepAlive = true;
        skippedResponses = 0;
        skippedBytes = 0;
        // The caller may be slow already, from the response before.
        channel.config().setAutoRead(responseListener.acceptsBytes());
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            requestWritten = done.isSuccess();
                            if (!done.isSuccess()) {
                                fail(ResponseFault.CLOSED);
                            }
                        });
    }

    private void setFault(ResponseFault newFault) {
        if (fault == ResponseFault.NONE) {
            fault = newFault;
        }
    }

    /** Closes the connection without completing a response that is delimited by the close. */
    private void fail(ResponseFault newFault) {
        setFault(newFault);
        connectionFailed = true;
        channel.close();
    }

    /** Closes the connection, upon which most upstreams stop executing the request. */
    void abort() {
        listener = null;
        channel.close();
    }

    /**
     * Reads and discards the rest of the current response, after which the connection can be used
     * again. The connection is closed if the rest is too long or takes too long.
     */
    void discardResponse() {
        listener = null;
        discardingResponse = true;
        channel.config().setAutoRead(true);
        discardTimer = timers.schedule(MAX_DISCARD_MILLIS, channel::close);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        UpstreamListener responseListener = listener;
        if (responseListener != null && headReceived) {
            responseListener.onReadComplete();
        }
    }

    private void read(HttpObject message) {
        if (listener == null && !discardingResponse) {
            channel.close();
            return;
        }
        if (awaitingRestOfHead) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(ResponseFault.UNREADABLE);
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content) {
            readBody(content);
        }
    }

    private void readHead(HttpResponse response) {
        UpstreamListener responseListener = listener;
        if (responseListener == null) {
            return;
        }
        String id = codec.responseRequestId(response);
        ResponseFault headFault = ResponseHeadCheck.check(response);
        boolean wellFormed = headFault == ResponseFault.NONE;
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean foreign = !id.isEmpty() && !id.equals(requestId);
        strayReceived = strayReceived || foreign;
        // A late response to an earlier request may arrive before the response to this one.
        skippingResponse = wellFormed && (informational || foreign);
        if (skippingResponse) {
            if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
                fail(ResponseFault.EXCESS);
            }
            return;
        }
        if (!wellFormed || (id.isEmpty() && !isAttributableWithoutId(response))) {
            setFault(wellFormed ? ResponseFault.UNIDENTIFIED : headFault);
            abort();
            responseListener.onUnattributableResponse();
            return;
        }
        headReceived = true;
        boolean framed =
                decoder.isBodiless(response)
                        || HttpUtil.isTransferEncodingChunked(response)
                        || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        closeDelimited = !framed;
        identified = !id.isEmpty();
        framing = framingOf(response);
        keepAlive = framed && HttpUtil.isKeepAlive(response);
        readKeepAliveTimeout(response);
        responseListener.onResponseHead(response);
    }

    private Framing framingOf(HttpResponse response) {
        if (closeDelimited) {
            return Framing.CLOSE;
        }
        if (decoder.isBodiless(response)) {
            return Framing.BODILESS;
        }
        return HttpUtil.isTransferEncodingChunked(response) ? Framing.CHUNKED : Framing.LENGTH;
    }

    /**
     * Only the first request of a connection has no earlier one that the response may belong to.
     */
    private boolean isAttributableWithoutId(HttpResponse response) {
        return carriedIds.size() == 1
                && !strayReceived
                && response.status().codeClass() != HttpStatusClass.SUCCESS;
    }

    private void readKeepAliveTimeout(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        int start = value == null ? -1 : value.indexOf("timeout=");
        if (value == null || start < 0) {
            return;
        }
        int end = start + "timeout=".length();
        long seconds = 0;
        while (end < value.length() && Character.isDigit(value.charAt(end))) {
            long parsed = seconds * 10 + Character.digit(value.charAt(end++), 10);
            seconds = Math.min(MAX_IDLE_TIMEOUT_SECONDS, parsed);
        }
        idleTimeoutMillis = Math.max(0, seconds * 1000 - IDLE_TIMEOUT_MARGIN_MILLIS);
    }

    private void readBody(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skippingResponse || discardingResponse) {
            skip(content, last);
            return;
        }
        UpstreamListener responseListener = listener;
        if (responseListener == null || !headReceived) {
            return;
        }
        if (content instanceof LastHttpContent end
                && ResponseHeadCheck.isMerged(end.trailingHeaders())) {
            fail(ResponseFault.MERGED_HEAD);
            return;
        }
        if (bodyScanner.scan(content.content()) || (last && continuesInMoreBytes())) {
            fail(ResponseFault.EMBEDDED_HEAD);
            return;
        }
        if (last && bodyScanner.isOpen() && !closeDelimited) {
            awaitRestOfHead(responseListener, content.content().retain());
            return;
        }
        if (content.content().isReadable()) {
            responseListener.onResponseBody(content.content());
        }
        if (last && listener == responseListener) {
            endResponse(responseListener);
        }
    }

    /** Returns whether a head that begins in the body goes on behind the end of the response. */
    private boolean continuesInMoreBytes() {
        return decoder.hasMoreBytes() && bodyScanner.scanBehindBody(decoder.moreBytes());
    }

    /**
     * Completes a response whose body ends like the beginning of a head, unless the rest of that
     * head follows. Consumes the last bytes of the body.
     */
    private void awaitRestOfHead(UpstreamListener responseListener, ByteBuf lastBytes) {
        awaitingRestOfHead = true;
        decoder.onResponseEnd();
        decoder.passBytesTo(
                bytes -> {
                    if (bodyScanner.scanBehindBody(bytes)) {
                        fail(ResponseFault.EMBEDDED_HEAD);
                    }
                });
        keepAlive = false;
        timers.schedule(
                UpstreamSocket.RESET_WAIT_MILLIS,
                () -> {
                    if (listener == responseListener) {
                        responseListener.onResponseBody(lastBytes);
                    }
                    lastBytes.release();
                    if (listener == responseListener) {
                        endResponse(responseListener);
                    }
                });
    }

    private void endResponse(UpstreamListener responseListener) {
        if (closeDelimited) {
            awaitReset();
        } else {
            listener = null;
            releaseOrClose();
            responseListener.onResponseComplete();
        }
    }

    /**
     * Completes a response that the end of the connection delimits, unless it turns out that the
     * upstream did not close the connection in order after the whole request. If this side closes
     * it, or after a reset, the rest of the response is missing.
     */
    private void awaitReset() {
        if (!requestWritten || connectionFailed) {
            channel.close();
            return;
        }
        awaitingReset = true;
        timers.schedule(UpstreamSocket.RESET_WAIT_MILLIS, this::completeUnlessReset);
    }

    private void completeUnlessReset() {
        UpstreamListener responseListener = listener;
        if (responseListener == null) {
            return;
        }
        if (channel.isReset()) {
            fail(ResponseFault.RESET);
            return;
        }
        listener = null;
        channel.close();
        responseListener.onResponseComplete();
    }

    private void skip(HttpContent content, boolean last) {
        skippedBytes += content.content().readableBytes();
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            fail(ResponseFault.EXCESS);
            return;
        }
        if (!last) {
            return;
        }
        skippingResponse = false;
        if (discardingResponse) {
            endDiscard();
            releaseOrClose();
        }
    }

    private void endDiscard() {
        discardingResponse = false;
        Cancellable timer = discardTimer;
        discardTimer = null;
        if (timer != null) {
            timer.cancel();
        }
    }

    private void releaseOrClose() {
        if (keepAlive && requestWritten && !strayReceived && !decoder.hasMoreBytes()) {
            decoder.onResponseEnd();
            pool.release(this);
        } else {
            channel.close();
        }
    }

    /** Closes this side too when the upstream has closed its side. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !awaitingReset && !awaitingRestOfHead) {
            channel.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.atFine().withCause(cause).log("proxy: Connection to an upstream failed.");
        fail(ResponseFault.CLOSED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.onClosed(this);
        endDiscard();
        UpstreamListener responseListener = listener;
        listener = null;
        if (responseListener != null) {
            setFault(ResponseFault.CLOSED);
            responseListener.onResponseIncomplete();
        }
    }
}
