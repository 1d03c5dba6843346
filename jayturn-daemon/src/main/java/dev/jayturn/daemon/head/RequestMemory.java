package dev.jayturn.daemon.head;

import dev.jayturn.core.limits.MemoryBudget;
import dev.jayturn.core.limits.SharedMemoryBudget;
import dev.jayturn.daemon.link.EventLoopTimers;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The memory that requests occupy in a process with several event loops. Each loop has an equal
 * part, which it divides among its connections without locks.
 */
public final class RequestMemory {
    /** One head of the largest size and of the shortest lines fits, with others beside it. */
    private static final long MIN_HEAD_BYTES = 2 << 20;

    /** Bodies are copied to the heap once they are complete. */
    private static final double BODY_SHARE_OF_HEAP = 0.25;

    private final Map<EventExecutor, Part> parts = new HashMap<>();

    /** The part of one event loop, to be used on it only. */
    public record Part(HeadMemory heads, MemoryBudget bodies) {}

    /**
     * Divides the memory among the loops of a group.
     *
     * @param headBytes bound on what the heads of all requests occupy, except small ones
     * @param maxBodyBytes length of a body for which there is memory on each loop
     */
    public RequestMemory(
            EventLoopGroup group, long headBytes, long maxBodyBytes, MeterRegistry registry) {
        List<EventLoop> loops = new ArrayList<>();
        group.forEach(executor -> loops.add((EventLoop) executor));
        long headBytesOfLoop = Math.max(MIN_HEAD_BYTES, headBytes / loops.size());
        double heapBytes = Runtime.getRuntime().maxMemory() * BODY_SHARE_OF_HEAP;
        // A claim of the largest body leaves a part to short ones.
        long bodyBytesOfLoop = Math.max((long) heapBytes / loops.size(), 2 * maxBodyBytes);
        for (EventLoop loop : loops) {
            HeadMemory heads =
                    new HeadMemory(
                            headBytesOfLoop,
                            (part, occupiedBytes, chargedBytes) ->
                                    registry.counter("jayturn.heads.refused", "part", part)
                                            .increment());
            MemoryBudget bodies =
                    new SharedMemoryBudget(new EventLoopTimers(loop), bodyBytesOfLoop);
            parts.put(loop, new Part(heads, bodies));
        }
        registry.gauge("jayturn.heads.charged.bytes", this, RequestMemory::chargedHeadBytes);
    }

    /** Returns the part of an event loop. */
    public Part of(EventLoop loop) {
        return Objects.requireNonNull(parts.get(loop));
    }

    /** Returns about as much as the charged heads occupy; the loops go on meanwhile. */
    private double chargedHeadBytes() {
        return parts.values().stream().mapToLong(part -> part.heads().chargedBytes()).sum();
    }
}
