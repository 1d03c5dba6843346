package dev.jayturn.daemon.link;

import dev.jayturn.core.limits.FrameBudget;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.function.Consumer;

/** Decodes the frames of one connection and claims the memory of the unfinished one. */
final class BudgetedFrameDecoder extends LengthFieldBasedFrameDecoder {
    private final FrameBudget.Claim claim;

    /**
     * Creates the decoder of a connection.
     *
     * @param onClosed called when the connection is closed because of the budget
     */
    BudgetedFrameDecoder(
            int maxFrameBytes,
            int lengthBytes,
            FrameBudget budget,
            Channel channel,
            Consumer<Channel> onClosed) {
        super(maxFrameBytes, 0, lengthBytes, 0, lengthBytes);
        this.claim =
                budget.open(
                        () -> {
                            onClosed.accept(channel);
                            channel.close();
                        });
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        Object frame = super.decode(ctx, in);
        if (frame != null) {
            claim.onDelivered();
        }
        return frame;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        super.channelRead(ctx, message);
        if (ctx.channel().isOpen()) {
            claim.onReceived(actualReadableBytes());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        super.channelInactive(ctx);
        claim.release();
    }
}
