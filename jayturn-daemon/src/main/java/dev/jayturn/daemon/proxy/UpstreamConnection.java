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
    private static final long DEFAULT_IDLE_MILLIS = 3_000;

    /** Taken off the idle time that an upstream names, so that its close is not met. */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    private final UpstreamPool pool;
    private final CallerCodec codec;
    private final Channel channel;
    private @Nullable UpstreamListener listener;
    private String requestId = "";
    private boolean written;
    private boolean headSeen;
    private boolean skipping;
    private boolean reusable;
    private boolean failed;
    private long idleMillis = DEFAULT_IDLE_MILLIS;
    private long idleSinceMillis;

    UpstreamConnection(UpstreamPool pool, CallerCodec codec, Channel channel) {
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
        return channel.isActive() && nowMillis - idleSinceMillis < idleMillis;
    }

    void send(FullHttpRequest request, String id, UpstreamListener attempt) {
        listener = attempt;
        requestId = id;
        written = false;
        headSeen = false;
        reusable = true;
        channel.config().setAutoRead(true);
        attempt.onSent();
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            written = done.isSuccess();
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
        String id = codec.answeredId(response);
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        // An answer to an earlier request may come late, where the next one is due.
        skipping = informational || (!id.isEmpty() && !id.equals(requestId));
        if (skipping) {
            return;
        }
        headSeen = true;
        boolean framed =
                HttpUtil.isTransferEncodingChunked(response)
                        || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        reusable = framed && HttpUtil.isKeepAlive(response);
        noteKeepAlive(response);
        attempt.onHead(response);
    }

    private void noteKeepAlive(HttpResponse response) {
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
        idleMillis = Math.max(0, seconds * 1000 - IDLE_MARGIN_MILLIS);
    }

    private void readBody(HttpContent content, UpstreamListener attempt) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (!headSeen || (last && failed)) {
            return;
        }
        if (content.content().isReadable()) {
            attempt.onBody(content.content());
        }
        if (last && listener == attempt) {
            listener = null;
            if (reusable && written) {
                pool.release(this);
            } else {
                channel.close();
            }
            attempt.onDone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.atFine().withCause(cause).log("proxy: A connection to an upstream failed.");
        // A reset: an answer without a length is not whole then.
        failed = true;
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.closed(this);
        UpstreamListener attempt = listener;
        listener = null;
        if (attempt != null) {
            attempt.onBroken();
        }
    }
}
