package dev.jayturn.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection if a request is not received completely in time, or if none comes for long.
 * Handles what is received before it is decoded, so that the time of a request starts with its
 * first byte.
 */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {
    private final long receiveMillis;
    private final long idleMillis;
    private final ConnectionLimit limit;
    private State state = State.RECEIVING;
    private long unsentBytes;
    private @Nullable ChannelHandlerContext context;
    private @Nullable ScheduledFuture<?> timeout;

    private enum State {
        IDLE,
        RECEIVING,
        RUNNING
    }

    /**
     * Creates the handler of one connection.
     *
     * @param receiveMillis time for a request to be received, in milliseconds
     * @param idleMillis time from a response to the next request, in milliseconds
     * @param limit learns whether the connection waits
     */
    RequestTimeoutHandler(long receiveMillis, long idleMillis, ConnectionLimit limit) {
        this.receiveMillis = receiveMillis;
        this.idleMillis = idleMillis;
        this.limit = limit;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        enter(State.RECEIVING);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (state == State.IDLE) {
            enter(State.RECEIVING);
        }
        ctx.fireChannelRead(message);
    }

    /** Called when a request has been received completely. */
    void onRequestReceived() {
        enter(State.RUNNING);
    }

    /** Called when the response to the last request has been written. */
    void onResponseWritten() {
        unsentBytes = Long.MAX_VALUE;
        enter(State.IDLE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelTimeout();
        context = null;
        ctx.fireChannelInactive();
    }

    private void enter(State newState) {
        state = newState;
        cancelTimeout();
        ChannelHandlerContext ctx = context;
        if (ctx != null && newState == State.RUNNING) {
            limit.onRunning(ctx.channel());
        } else if (ctx != null) {
            limit.onWaiting(ctx.channel());
        }
        if (newState == State.RECEIVING) {
            startTimeout(receiveMillis);
        } else if (newState == State.IDLE) {
            startTimeout(idleMillis);
        }
    }

    private void startTimeout(long millis) {
        ChannelHandlerContext ctx = context;
        if (ctx != null) {
            timeout = ctx.executor().schedule(() -> onTimeout(ctx), millis, TimeUnit.MILLISECONDS);
        }
    }

    private void onTimeout(ChannelHandlerContext ctx) {
        long unsentBefore = unsentBytes;
        unsentBytes = unsentBytes(ctx.channel());
        if (unsentBytes > 0 && unsentBytes < unsentBefore) {
            // The caller is still reading the response; a request behind it is not decoded yet.
            startTimeout(state == State.IDLE ? idleMillis : receiveMillis);
        } else {
            ctx.close();
        }
    }

    /** Returns the number of bytes that are written, and that the socket has not taken. */
    static long unsentBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private void cancelTimeout() {
        ScheduledFuture<?> started = timeout;
        timeout = null;
        if (started != null) {
            started.cancel(false);
        }
    }
}
