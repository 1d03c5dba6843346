package dev.jayturn.daemon.proxy;

import dev.jayturn.core.limits.MemoryBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/**
 * Receives the body of a request into memory that was claimed for it. The bytes are copied, because
 * the buffers that they were read into are larger.
 */
final class RequestBody implements MemoryBudget.Callback {
    /** Length of a body whose end is marked by its last chunk. */
    static final long UNKNOWN_LENGTH = -1;

    private static final int MIN_SEGMENT_BYTES = 1_024;
    private static final int MAX_SEGMENT_BYTES = 256 * 1_024;

    private final BodyMemory memory;
    private final ByteBufAllocator allocator;
    private final long declaredBytes;
    private final long maxBytes;
    private final MemoryBudget.Callback listener;
    private final HeldBuffer buffer;
    private @Nullable ByteBuf segment;
    private long receivedBytes;
    private long claimedBytes;
    private boolean waiting;

    /** Gives the claimed memory back when nobody holds the buffer any more. */
    private final class HeldBuffer extends CompositeByteBuf {
        private MemoryBudget.@Nullable Claim claim;

        HeldBuffer() {
            super(allocator, true, Integer.MAX_VALUE);
        }

        void replaceClaim(MemoryBudget.Claim newClaim) {
            releaseClaim();
            claim = newClaim;
        }

        private void releaseClaim() {
            MemoryBudget.Claim held = claim;
            claim = null;
            if (held != null) {
                held.release();
            }
        }

        @Override
        protected void deallocate() {
            super.deallocate();
            memory.onHeldBytes(-receivedBytes);
            releaseClaim();
        }
    }

    /**
     * Creates a body of which nothing is received.
     *
     * @param declaredBytes length that the caller has declared, or {@link #UNKNOWN_LENGTH}
     * @param maxBytes length above which the body is not accepted
     * @param listener receives the decisions on the memory that is claimed
     */
    RequestBody(
            BodyMemory memory,
            ByteBufAllocator allocator,
            long declaredBytes,
            long maxBytes,
            MemoryBudget.Callback listener) {
        this.memory = memory;
        this.allocator = allocator;
        this.declaredBytes = declaredBytes;
        this.maxBytes = maxBytes;
        this.listener = listener;
        this.buffer = new HeldBuffer();
    }

    /** Returns the length that a caller has declared, or {@link #UNKNOWN_LENGTH}. */
    static long declaredBytes(HttpRequest head) {
        return HttpUtil.isTransferEncodingChunked(head)
                ? UNKNOWN_LENGTH
                : HttpUtil.getContentLength(head, 0L);
    }

    /** Returns whether a body has two lengths, which would allow request smuggling. */
    static boolean isLengthAmbiguous(HttpRequest head) {
        return head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    /** Claims memory for the whole body, or for the begin of one of unknown length. */
    void claim(long maxWaitMillis) {
        claim(
                declaredBytes == UNKNOWN_LENGTH
                        ? Math.min(maxBytes, MemoryBudget.SHORT_CLAIM_BYTES)
                        : declaredBytes,
                maxWaitMillis);
    }

    /** Claims memory for the largest body, because one of unknown length is not a short one. */
    void claimMaximum(long maxWaitMillis) {
        claim(maxBytes, maxWaitMillis);
    }

    private void claim(long bytes, long maxWaitMillis) {
        claimedBytes = bytes;
        waiting = true;
        MemoryBudget.Claim claim = memory.budget().claim(bytes, maxWaitMillis, this);
        buffer.replaceClaim(claim);
    }

    /** Returns whether the decision on a claim is due. */
    boolean isWaiting() {
        return waiting;
    }

    long claimedBytes() {
        return claimedBytes;
    }

    /** Returns whether the memory claimed so far is enough for some more bytes. */
    boolean hasRoom(int bytes) {
        return receivedBytes + bytes <= claimedBytes;
    }

    /** Returns whether the body would be too large with some more bytes. */
    boolean exceedsMaximum(int bytes) {
        return receivedBytes + bytes > maxBytes;
    }

    @Override
    public void onGranted() {
        waiting = false;
        listener.onGranted();
    }

    @Override
    public void onRejected(long retryAfterMillis) {
        waiting = false;
        listener.onRejected(retryAfterMillis);
    }

    /** Appends bytes, for which there is room; the caller of this method releases them. */
    void append(ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
        memory.onHeldBytes(bytes.readableBytes());
        while (bytes.isReadable()) {
            ByteBuf target = segment;
            if (target == null) {
                target = newSegment(bytes.readableBytes());
                segment = target;
            }
            target.writeBytes(bytes, Math.min(bytes.readableBytes(), target.writableBytes()));
            if (!target.isWritable()) {
                addSegment();
            }
        }
    }

    private ByteBuf newSegment(int bytes) {
        long wanted =
                declaredBytes == UNKNOWN_LENGTH
                        ? Math.max(MIN_SEGMENT_BYTES, buffer.readableBytes())
                        : declaredBytes - buffer.readableBytes();
        int capacity = (int) Math.min(MAX_SEGMENT_BYTES, Math.max(wanted, bytes));
        if (capacity <= MemoryBudget.SHORT_CLAIM_BYTES) {
            return allocator.directBuffer(capacity, capacity);
        }
        // A pool would keep the memory of long bodies when they are gone.
        return UnpooledByteBufAllocator.DEFAULT.directBuffer(capacity, capacity);
    }

    private void addSegment() {
        ByteBuf full = segment;
        segment = null;
        if (full != null) {
            buffer.addComponent(true, full);
        }
    }

    /** Ends the body and returns it; whoever releases it gives back the memory. */
    ByteBuf complete() {
        addSegment();
        MemoryBudget.Claim claim = buffer.claim;
        if (claim != null) {
            claim.shrinkTo(receivedBytes);
            claim.complete();
        }
        return buffer;
    }

    /** Gives up a body that was not completed. */
    void release() {
        addSegment();
        buffer.release();
    }
}
