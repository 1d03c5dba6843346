package dev.jayturn.daemon.link;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.timer.TimerService;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A connection that this instance opened to another instance. Messages sent before it is
 * established are queued, up to a limit, as are those that the other instance does not read;
 * messages beyond it are dropped. Their senders repeat what matters.
 */
final class OutboundConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_PENDING_MESSAGES = 256;

    /** Bytes that a peer has not read above which further messages are dropped. */
    private static final long MAX_UNSENT_BYTES = 8 << 20;

    private static final int LOG_INTERVAL_SECONDS = 5;
    private static final long PONG_TIMEOUT_MILLIS = 1_500;
    private static final long RECONNECT_DELAY_MILLIS = 250;

    private final TimerService timers;
    private final Deque<byte[]> pendingMessages = new ArrayDeque<>();
    private @Nullable Channel channel;
    private boolean closed;
    private long closedMillis;
    private long lastSendMillis;
    private long pingSentMillis;

    OutboundConnection(TimerService timers) {
        this.timers = timers;
        this.lastSendMillis = timers.nowMillis();
    }

    boolean isClosed() {
        return closed;
    }

    /** Returns whether the delay after the end of this connection has passed. */
    boolean canReconnect(long nowMillis) {
        return nowMillis - closedMillis >= RECONNECT_DELAY_MILLIS;
    }

    /** Marks the connection as closed, or as failed to connect, and drops the queued messages. */
    void markClosed() {
        if (!closed) {
            closed = true;
            closedMillis = timers.nowMillis();
            pendingMessages.clear();
        }
    }

    /**
     * Sends an encoded message, followed by a ping unless a pong is still awaited; queues the
     * message if the connection is not established yet.
     */
    void send(byte[] body) {
        lastSendMillis = timers.nowMillis();
        Channel activeChannel = channel;
        if (activeChannel == null) {
            if (pendingMessages.size() < MAX_PENDING_MESSAGES) {
                pendingMessages.add(body);
            }
            return;
        }
        if (unsentBytes(activeChannel) <= MAX_UNSENT_BYTES) {
            write(activeChannel, body);
        } else {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "link: Dropped a message to an instance that does not read.");
        }
        if (pingSentMillis == 0) {
            pingSentMillis = lastSendMillis;
            activeChannel.write(activeChannel.alloc().buffer(1).writeByte(LinkTransport.PING));
        }
        activeChannel.flush();
    }

    private static long unsentBytes(Channel activeChannel) {
        ChannelOutboundBuffer buffer = activeChannel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private static void write(Channel activeChannel, byte[] body) {
        ByteBuf frame = activeChannel.alloc().buffer(body.length + 1);
        frame.writeByte(LinkTransport.MESSAGE).writeBytes(body);
        activeChannel.write(frame);
    }

    /** Closes the connection if a pong is overdue or nothing was sent for the idle timeout. */
    void closeIfStale(long nowMillis, long idleTimeoutMillis) {
        Channel activeChannel = channel;
        if (activeChannel == null || closed) {
            return;
        }
        boolean pongOverdue =
                pingSentMillis != 0 && nowMillis - pingSentMillis > PONG_TIMEOUT_MILLIS;
        if (pongOverdue || nowMillis - lastSendMillis > idleTimeoutMillis) {
            activeChannel.close();
            markClosed();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        for (byte[] body : pendingMessages) {
            write(ctx.channel(), body);
        }
        pendingMessages.clear();
        ctx.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        markClosed();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        if (frame.readByte() == LinkTransport.PONG) {
            pingSentMillis = 0;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.atFine().withCause(cause).log("link: Outbound connection failed.");
        ctx.close();
    }
}
