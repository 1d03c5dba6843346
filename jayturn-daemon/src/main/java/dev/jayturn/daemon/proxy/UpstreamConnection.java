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

/** One connection to an upstream; it carries one request at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Idle time after which a connection is not used again if its upstream names none. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

    /** Taken off the idle time that an upstream names, so that its close is not met. */
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

    boolean isUsable(long nowMillis) {
        return channel.isActive() && nowMillis - idleSinceMillis < idleTimeoutMillis;
    }

    void send(FullHttpRequest request, String id, UpstreamListener attempt) {
        listener = attempt;
        requestId = id;
        requestWritten = false;
        headReceived = false;
        keepAlive = true;
        channel.config().setAutoRead(true);
        attempt.onSent();
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            requestWritten = done.isSuccess();
                            if (!done.isSuccess()) {
                                channel.close();
                            }
                        });
    }

    /** Ends the attempt; most upstreams then stop their work. */
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
        UpstreamListener attempt = listener;
        if (attempt == null) {
            // Bytes that nobody asked for: what follows on this connection cannot be trusted.
            channel.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            channel.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response, attempt);
        }
        if (message instanceof HttpContent content) {
            readBody(content, attempt);
        }
    }

    private void readHead(HttpResponse response, UpstreamListener attempt) {
        String id = codec.responseRequestId(response);
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        // An answer to an earlier request may come late, where the next one is due.
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
        attempt.onResponseHead(response);
    }

    private void readKeepAliveTimeout(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (value == null || at < 0) {
            return;
        }
        int end = at + "timeout=".length();
        long seconds = 0;
        while (end < value.length() && Character.isDigit(value.charAt(end))) {
            seconds = seconds * 10 + value.charAt(end++) - '0';
        }
        idleTimeoutMillis = Math.max(0, seconds * 1000 - IDLE_TIMEOUT_MARGIN_MILLIS);
    }

    private void readBody(HttpContent content, UpstreamListener attempt) {
        boolean last = content instanceof LastHttpContent;
        if (skippingResponse) {
            skippingResponse = !last;
            return;
        }
        if (!headReceived || (last && connectionFailed)) {
            return;
        }
        if (content.content().isReadable()) {
            attempt.onResponseBody(content.content());
        }
        if (last && listener == attempt) {
            listener = null;
            if (keepAlive && requestWritten) {
                pool.release(this);
            } else {
                channel.close();
            }
            attempt.onResponseComplete();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.atFine().withCause(cause).log("proxy: A connection to an upstream failed.");
        // A reset: an answer without a length is not whole then.
        connectionFailed = true;
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.onClosed(this);
        UpstreamListener attempt = listener;
        listener = null;
        if (attempt != null) {
            attempt.onResponseIncomplete();
        }
    }
}
