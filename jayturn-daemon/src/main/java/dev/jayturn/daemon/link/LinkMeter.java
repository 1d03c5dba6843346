package dev.jayturn.daemon.link;

import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.limits.LinkPeer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Records the bytes of all connections to a kind of peer in the link limiter of the process. It is
 * the first handler of each pipeline, so that it counts the bytes as they are on the network.
 */
@Sharable
public final class LinkMeter extends ChannelDuplexHandler {
    private final LinkLimiter limiter;
    private final LinkPeer peer;

    /** Creates the handler, which is added to the pipeline of every connection to such a peer. */
    public LinkMeter(LinkLimiter limiter, LinkPeer peer) {
        this.limiter = limiter;
        this.peer = peer;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf bytes) {
            limiter.recordReceived(peer, bytes.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            limiter.recordSent(peer, bytes.readableBytes());
        }
        ctx.write(message, promise);
    }
}
