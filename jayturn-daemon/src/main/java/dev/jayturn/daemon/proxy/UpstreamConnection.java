package dev.jayturn.daemon.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
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

    private final UpstreamConnectionPool pool;
    private final HeaderCodec codec;
    private final Channel channel;
    private @Nullable UpstreamListener listener;
    private String requestId = "";
    private boolean requestWritten;
    private boolean headReceived;
    private boolean skippingResponse;
    private boolean keepAlive;
    private boolean connectionFailed;
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private long idleSinceMillis;

    UpstreamConnection(UpstreamConnectionPool pool, HeaderCodec codec, Channel channel) {
        this.pool = pool;
        this.codec = codec;
        this.channel = channel;
    }

    Channel channel() {
        return channel;
    }

    void setIdleSince(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    /** Returns whether the connection is open and its idle timeout has not passed. */
    boolean isUsable(long nowMillis) {
        return channel.isActive() && nowMillis - idleSinceMillis < idleTimeoutMillis;
    }

    /** Sends a request; the listener receives its progress and its response. */
    void send(FullHttpRequest request, String id, UpstreamListener responseListener) {
        listener = responseListener;
        requestId = id;
        requestWritten = false;
        headReceived = false;
        keepAlive = true;
        channel.config().setAutoRead(true);
        responseListener.onSent();
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            requestWritten = done.isSuccess();
                            if (!done.isSuccess()) {
                                channel.close();
                            }
                        });
    }

    /** Closes the connection, upon which most upstreams stop executing the request. */
    void abort() {
        listener = null;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        UpstreamListener responseListener = listener;
        if (responseListener == null) {
            // Bytes without a request: responses after them could be attributed to the wrong
            // request.
            channel.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            channel.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response, responseListener);
        }
        if (message instanceof HttpContent content) {
            readBody(content, responseListener);
        }
    }

    private void readHead(HttpResponse response, UpstreamListener responseListener) {
        String id = codec.responseRequestId(response);
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        // A late response to an earlier request may arrive before the response to this one.
        skippingResponse = informational || (!id.isEmpty() && !id.equals(requestId));
        if (skippingResponse) {
            return;
        }
        headReceived = true;
        boolean framed =
                HttpUtil.isTransferEncodingChunked(response)
                        || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        keepAlive = framed && HttpUtil.isKeepAlive(response);
        readKeepAliveTimeout(response);
        responseListener.onResponseHead(response);
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
            seconds = seconds * 10 + value.charAt(end++) - '0';
        }
        idleTimeoutMillis = Math.max(0, seconds * 1000 - IDLE_TIMEOUT_MARGIN_MILLIS);
    }

    private void readBody(HttpContent content, UpstreamListener responseListener) {
        boolean last = content instanceof LastHttpContent;
        if (skippingResponse) {
            skippingResponse = !last;
            return;
        }
        if (!headReceived || (last && connectionFailed)) {
            return;
        }
        if (content.content().isReadable()) {
            responseListener.onResponseBody(content.content());
        }
        if (last && listener == responseListener) {
            listener = null;
            if (keepAlive && requestWritten) {
                pool.release(this);
            } else {
                channel.close();
            }
            responseListener.onResponseComplete();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.atFine().withCause(cause).log("proxy: Connection to an upstream failed.");
        // After a reset, a response that is delimited by the close is not complete.
        connectionFailed = true;
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.onClosed(this);
        UpstreamListener responseListener = listener;
        listener = null;
        if (responseListener != null) {
            responseListener.onResponseIncomplete();
        }
    }
}
