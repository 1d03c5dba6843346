package dev.jayturn.daemon.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection if a request is not received completely in time. The timeout starts when the
 * connection opens, and for later requests when their head has been decoded, so that a connection
 * that is idle between two requests does not time out.
 */
final class RequestTimeoutHandler extends ChannelDuplexHandler {
    private final long timeoutMillis;
    private @Nullable ScheduledFuture<?> timeout;

    RequestTimeoutHandler(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        startTimeout(ctx);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof LastHttpContent) {
            cancelTimeout();
        } else if (message instanceof HttpObject && timeout == null) {
            startTimeout(ctx);
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelTimeout();
        ctx.fireChannelInactive();
    }

    private void startTimeout(ChannelHandlerContext ctx) {
        timeout =
                ctx.executor()
                        .schedule(
                                () -> {
                                    ctx.close();
                                },
                                timeoutMillis,
                                TimeUnit.MILLISECONDS);
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
