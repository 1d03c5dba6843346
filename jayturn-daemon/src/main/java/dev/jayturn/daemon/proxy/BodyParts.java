package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Joins the parts of a response body that arrive together. A faulty upstream may send chunks of one
 * byte without end, and each write costs time that other callers lack.
 */
final class BodyParts {
    private static final int MAX_JOINED_BYTES = 16 * 1_024;

    private @Nullable ByteBuf unsent;

    /** Whether this object has allocated the buffer, so that parts can be added to it. */
    private boolean joined;

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

    void release() {
        ReferenceCountUtil.release(unsent);
        unsent = null;
        joined = false;
    }
}
