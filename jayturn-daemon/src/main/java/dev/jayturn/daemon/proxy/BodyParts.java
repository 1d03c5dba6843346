package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * The output to a caller, which joins the parts of a response body that arrive together. A faulty
 * upstream may send chunks of one byte without end, and each write costs time that other callers
 * lack.
 */
final class BodyParts {
    private static final int MAX_JOINED_BYTES = 16 * 1_024;

    private @Nullable ByteBuf unsent;

    /** Whether this object has allocated the buffer, so that parts can be added to it. */
    private boolean joined;

    /** The last flush, which is done when the socket has taken all that was written before it. */
    private @Nullable ChannelFuture lastFlush;

    /** Returns the number of bytes of a body that a message holds. */
    static int bytesOf(Object message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    /** Adds a part, of which it takes ownership; writes those before if they are too long. */
    void add(ChannelHandlerContext ctx, ByteBuf part) {
        ByteBuf current = unsent;
        if (current != null && current.readableBytes() + part.readableBytes() > MAX_JOINED_BYTES) {
            write(ctx);
            current = null;
        }
        unsent = current == null ? part : join(ctx, current, part);
    }

    private ByteBuf join(ChannelHandlerContext ctx, ByteBuf current, ByteBuf part) {
        ByteBuf target = current;
        try {
            if (!joined) {
                target = ctx.alloc().buffer(MAX_JOINED_BYTES).writeBytes(current);
                joined = true;
                current.release();
            }
            return target.writeBytes(part);
        } finally {
            part.release();
        }
    }

    /** Writes the parts so far, without a flush. */
    void write(ChannelHandlerContext ctx) {
        ByteBuf bytes = unsent;
        unsent = null;
        joined = false;
        if (bytes != null) {
            ctx.write(new DefaultHttpContent(bytes));
        }
    }

    /** Writes the parts so far and a message behind them, and flushes all. */
    ChannelFuture writeAndFlush(ChannelHandlerContext ctx, Object message) {
        write(ctx);
        ChannelFuture flush = ctx.writeAndFlush(message);
        lastFlush = flush;
        return flush;
    }

    /** Returns whether the socket has taken all bytes up to the last flush. */
    boolean isFlushed() {
        ChannelFuture flush = lastFlush;
        return flush == null || flush.isDone();
    }

    /** Closes the connection when the socket has taken all bytes that were accepted for it. */
    void closeAfterFlush(ChannelHandlerContext ctx) {
        writeAndFlush(ctx, Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    void release() {
        ReferenceCountUtil.release(unsent);
        unsent = null;
        joined = false;
    }
}
