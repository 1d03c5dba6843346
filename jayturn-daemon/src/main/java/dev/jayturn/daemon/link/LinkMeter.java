package dev.jayturn.daemon.link;

import dev.jayturn.core.limits.LinkLimiter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Records the bytes of all connections of a process in its link limiter. It is the first handler of
 * each pipeline, so that it counts the bytes as they are on the network.
 */
@Sharable
public final class LinkMeter extends ChannelDuplexHandler {
    private final LinkLimiter limiter;

    /** Creates the handler, which is added to the pipeline of every connection. */
    public LinkMeter(LinkLimiter limiter) {
        this.limiter = limiter;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf bytes) {
            limiter.recordReceived(bytes.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            limiter.recordSent(bytes.readableBytes());
        }
        ctx.write(message, promise);
    }
}
