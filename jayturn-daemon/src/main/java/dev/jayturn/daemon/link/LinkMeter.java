package dev.jayturn.daemon.link;

import dev.jayturn.core.limits.LinkLimiter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of all connections of a process against its link; stands first in them. */
@Sharable
public final class LinkMeter extends ChannelDuplexHandler {
    private final LinkLimiter limiter;

    /** Creates the handler that every connection shares. */
    public LinkMeter(LinkLimiter link) {
        this.limiter = link;
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
