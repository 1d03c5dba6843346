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
final class LinkConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_WAITING = 256;
    private static final long PONG_MILLIS = 1_500;
    private static final long REDIAL_MILLIS = 250;

    private final TimerService timers;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private @Nullable Channel channel;
    private boolean closed;
    private long closedMillis;
    private long usedMillis;
    private long pingMillis;

    LinkConnection(TimerService timers) {
        this.timers = timers;
        this.usedMillis = timers.nowMillis();
    }

    boolean isClosed() {
        return closed;
    }

    boolean mayRedial(long nowMillis) {
        return nowMillis - closedMillis >= REDIAL_MILLIS;
    }

    void failed() {
        if (!closed) {
            closed = true;
            closedMillis = timers.nowMillis();
            waiting.clear();
        }
    }

    void send(byte[] body) {
        usedMillis = timers.nowMillis();
        Channel open = channel;
        if (open == null) {
            if (waiting.size() < MAX_WAITING) {
                waiting.add(body);
            }
            return;
        }
        write(open, body);
        if (pingMillis == 0) {
            pingMillis = usedMillis;
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
    void check(long nowMillis, long idleMillis) {
        Channel open = channel;
        if (open == null || closed) {
            return;
        }
        boolean silent = pingMillis != 0 && nowMillis - pingMillis > PONG_MILLIS;
        if (silent || nowMillis - usedMillis > idleMillis) {
            open.close();
            failed();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        for (byte[] body : waiting) {
            write(ctx.channel(), body);
        }
        waiting.clear();
        ctx.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        failed();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        if (frame.readByte() == LinkTransport.PONG) {
            pingMillis = 0;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.atFine().withCause(cause).log("link: A dialled connection failed.");
        ctx.close();
    }
}
