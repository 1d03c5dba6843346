package dev.jayturn.daemon.api;

import dev.jayturn.core.limits.MemoryBudget;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Claims the memory for the body of a request before it is received. A request for which there is
 * none is refused, and what its caller still sends is discarded; the caller asks another instance.
 */
public final class BodyLimiter extends ChannelInboundHandlerAdapter {
    private final MemoryBudget budget;
    private final int maxBodyBytes;
    private MemoryBudget.@Nullable Claim claim;
    private long claimedBytes;
    private long receivedBytes;
    private @Nullable ChannelFuture refusal;
    private @Nullable ChannelHandlerContext context;

    BodyLimiter(MemoryBudget budget, int maxBodyBytes) {
        this.budget = budget;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    boolean isRefusing() {
        return refusal != null;
    }

    /** Refuses the request, of which nothing more will come, and closes the connection. */
    void refuse(long retryAfterMillis) {
        ChannelHandlerContext ctx = context;
        if (ctx != null && refusal == null) {
            release();
            refuse(ctx, retryAfterMillis);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (refusal == null && message instanceof HttpRequest head) {
            receivedBytes = 0;
            long declaredBytes =
                    HttpUtil.isTransferEncodingChunked(head)
                            ? MemoryBudget.SHORT_CLAIM_BYTES
                            : HttpUtil.getContentLength(head, 0L);
            // The next handler refuses a body that is too long.
            claim(ctx, Math.min(declaredBytes, maxBodyBytes));
        }
        if (refusal == null && message instanceof HttpContent content) {
            receivedBytes += content.content().readableBytes();
            if (receivedBytes > claimedBytes && claimedBytes < maxBodyBytes) {
                claim(ctx, maxBodyBytes);
            }
        }
        ChannelFuture sent = refusal;
        if (sent == null) {
            ctx.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        if (message instanceof LastHttpContent) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void claim(ChannelHandlerContext ctx, long bytes) {
        release();
        claimedBytes = bytes;
        claim =
                budget.claim(
                        bytes,
                        0,
                        new MemoryBudget.Callback() {
                            @Override
                            public void onGranted() {}

                            @Override
                            public void onRejected(long retryAfterMillis) {
                                refuse(ctx, 0);
                            }
                        });
    }

    private void refuse(ChannelHandlerContext ctx, long retryAfterMillis) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.EMPTY_BUFFER);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (retryAfterMillis > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterMillis / 1_000);
        }
        ChannelFuture sent = ctx.writeAndFlush(response);
        refusal = sent;
        sent.addListener(
                done -> {
                    if (done.isSuccess() && ctx.channel() instanceof DuplexChannel channel) {
                        channel.shutdownOutput();
                    }
                });
    }

    /** Gives the memory back; called when the request was handled. */
    void release() {
        MemoryBudget.Claim held = claim;
        claim = null;
        if (held != null) {
            held.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        ctx.fireChannelInactive();
    }
}
