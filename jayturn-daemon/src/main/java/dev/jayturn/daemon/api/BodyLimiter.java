package dev.jayturn.daemon.api;

import dev.jayturn.core.limits.MemoryBudget;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.head.HeadMemory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Claims the memory for the body of a request before it is received. A request for which there is
 * none is refused, and what its caller still sends is discarded; the caller asks another instance.
 */
public final class BodyLimiter extends ChannelInboundHandlerAdapter {
    /** Time in which a caller whose request is refused may go on to send it. */
    private static final long LINGER_MILLIS = 10_000;

    private final MemoryBudget budget;
    private final int maxBodyBytes;
    private final RefusalWriter refusals;
    private MemoryBudget.@Nullable Claim claim;
    private long claimedBytes;
    private long receivedBytes;
    private @Nullable ChannelFuture refusal;
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;

    /** Creates the response to a request that is refused. */
    public interface RefusalWriter {
        /**
         * Creates a response.
         *
         * @param head head of the request; null if it was not received in full
         * @param retryAfterMillis time after which the caller may find memory; 0 if unknown
         */
        FullHttpResponse create(@Nullable HttpRequest head, ResultCode code, long retryAfterMillis);
    }

    /** Creates the limiter of one connection. */
    public BodyLimiter(MemoryBudget budget, int maxBodyBytes, RefusalWriter refusals) {
        this.budget = budget;
        this.maxBodyBytes = maxBodyBytes;
        this.refusals = refusals;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Returns whether a request was refused, upon which the connection takes no other. */
    public boolean isRefusing() {
        return refusal != null;
    }

    /** Refuses a request because of its head; nothing more of it will come. */
    public void refuseHead() {
        ChannelHandlerContext ctx = context;
        if (ctx != null && refusal == null) {
            refuse(ctx, ResultCode.HEADS_FULL, HeadMemory.RETRY_AFTER_MILLIS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (refusal == null && message instanceof HttpRequest received) {
            head = received;
            receivedBytes = 0;
            long declaredBytes =
                    HttpUtil.isTransferEncodingChunked(received)
                            ? MemoryBudget.SHORT_CLAIM_BYTES
                            : HttpUtil.getContentLength(received, 0L);
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
            MemoryBudget.Claim held = claim;
            if (held != null && message instanceof LastHttpContent) {
                held.complete();
            }
            ctx.fireChannelRead(message);
            return;
        }
        head = null;
        ReferenceCountUtil.release(message);
        if (message instanceof LastHttpContent) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void claim(ChannelHandlerContext ctx, long bytes) {
        releaseClaim();
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
                                refuse(ctx, ResultCode.MEMORY_FULL, retryAfterMillis);
                            }
                        });
    }

    private void refuse(ChannelHandlerContext ctx, ResultCode code, long retryAfterMillis) {
        FullHttpResponse response = refusals.create(head, code, retryAfterMillis);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ChannelFuture sent = ctx.writeAndFlush(response);
        refusal = sent;
        release();
        // What it has collected is not needed any more.
        if (ctx.pipeline().get(HttpObjectAggregator.class) != null) {
            ctx.pipeline().remove(HttpObjectAggregator.class);
        }
        sent.addListener(
                done -> {
                    if (done.isSuccess() && ctx.channel() instanceof DuplexChannel channel) {
                        channel.shutdownOutput();
                    }
                });
        ctx.executor().schedule(() -> ctx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Gives the memory back; called when the request was handled. */
    public void release() {
        head = null;
        releaseClaim();
    }

    private void releaseClaim() {
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
