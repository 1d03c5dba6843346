package dev.jayturn.daemon.link;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.timer.TimerService;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** One dialled connection; what is sent before it stands waits, within a bound. */
final class OutboundConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_PENDING_MESSAGES = 256;
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

    boolean canReconnect(long nowMillis) {
        return nowMillis - closedMillis >= RECONNECT_DELAY_MILLIS;
    }

    void markClosed() {
        if (!closed) {
            closed = true;
            closedMillis = timers.nowMillis();
            pendingMessages.clear();
        }
    }

    void send(byte[] body) {
        lastSendMillis = timers.nowMillis();
        Channel open = channel;
        if (open == null) {
            if (pendingMessages.size() < MAX_PENDING_MESSAGES) {
                pendingMessages.add(body);
            }
            return;
        }
        write(open, body);
        if (pingSentMillis == 0) {
            pingSentMillis = lastSendMillis;
            open.write(open.alloc().buffer(1).writeByte(LinkTransport.PING));
        }
        open.flush();
    }

    private static void write(Channel open, byte[] body) {
        ByteBuf frame = open.alloc().buffer(body.length + 1);
        frame.writeByte(LinkTransport.MESSAGE).writeBytes(body);
        open.write(frame);
    }

    /** Closes the connection if a pong is overdue or it was idle for too long. */
    void closeIfStale(long nowMillis, long idleMillis) {
        Channel open = channel;
        if (open == null || closed) {
            return;
        }
        boolean silent = pingSentMillis != 0 && nowMillis - pingSentMillis > PONG_TIMEOUT_MILLIS;
        if (silent || nowMillis - lastSendMillis > idleMillis) {
            open.close();
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
        LOGGER.atFine().withCause(cause).log("link: A dialled connection failed.");
        ctx.close();
    }
}
