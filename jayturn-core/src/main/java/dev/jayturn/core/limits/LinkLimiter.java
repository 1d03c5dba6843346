package dev.jayturn.core.limits;

import dev.jayturn.core.timer.TimerService;
import java.util.Arrays;

/**
 * Measures the load of an instance's own network link over a sliding window, and admits new
 * requests while it has spare capacity.
 *
 * <p>The load balancer sends all connections of a caller to one instance, so a customer that sends
 * three times its usual load saturates the link of one instance while others are idle. On a
 * saturated link packets queue for seconds, connections cannot be established and every request is
 * late. A request that exceeds the limits is refused immediately. Running streams are never
 * interrupted.
 *
 * <p>A request has been received by the time it is refused, and its caller sends it again, in many
 * cases to the same instance. Refusing it for the receiving side saves only its response. However
 * much callers send, a part of that side therefore remains for responses: without it, an instance
 * whose callers send much admits nothing, and what it refuses returns and keeps it so.
 */
public final class LinkLimiter {
    /** Number of slots in the window. */
    private static final int WINDOW_SLOTS = 8;

    private static final long SLOT_MILLIS = 50;

    /** Share of the sending capacity up to which requests answered by a stream are admitted. */
    private static final double MAX_SENT_SHARE_FOR_STREAM = 0.75;

    /** Share of the sending capacity up to which requests not answered by a stream are admitted. */
    private static final double MAX_SENT_SHARE_FOR_SHORT = 0.9;

    /**
     * Share of the sending capacity up to which any request is admitted while callers send so much
     * that refusing more would only bring more requests back.
     */
    private static final double MAX_SENT_SHARE = 0.95;

    /**
     * Share of the receiving capacity up to which requests answered by a stream are admitted. It is
     * higher than that of the sending capacity, since refused requests are received, too.
     */
    private static final double MAX_RECEIVED_SHARE_FOR_STREAM = 0.8;

    private static final double MAX_RECEIVED_SHARE_FOR_SHORT = 0.95;

    /** Share of the receiving capacity that is left to responses however much callers send. */
    private static final double RESERVED_FOR_RESPONSES = 0.25;

    private static final double BYTES_PER_MEGABIT = 125_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final TimerService timers;
    private final double windowCapacityBytes;
    // By the ordinal of the peer and the slot.
    private final long[][] receivedBytes = new long[LinkPeer.values().length][WINDOW_SLOTS];
    private final long[][] sentBytes = new long[LinkPeer.values().length][WINDOW_SLOTS];
    private long currentSlot;

    /**
     * Starts with an empty window.
     *
     * @param megabitsPerSecond capacity of the link in each direction; 0 if unknown, which admits
     *     every request
     */
    public LinkLimiter(TimerService timers, double megabitsPerSecond) {
        this.timers = timers;
        this.windowCapacityBytes =
                megabitsPerSecond
                        * BYTES_PER_MEGABIT
                        * WINDOW_SLOTS
                        * SLOT_MILLIS
                        / MILLIS_PER_SECOND;
        this.currentSlot = timers.nowMillis() / SLOT_MILLIS;
    }

    /** Records bytes received from a kind of peer. */
    public void recordReceived(LinkPeer peer, long bytes) {
        advanceWindow();
        receivedBytes[peer.ordinal()][(int) (currentSlot % WINDOW_SLOTS)] += bytes;
    }

    /** Records bytes sent to a kind of peer. */
    public void recordSent(LinkPeer peer, long bytes) {
        advanceWindow();
        sentBytes[peer.ordinal()][(int) (currentSlot % WINDOW_SLOTS)] += bytes;
    }

    /**
     * Returns whether one more request can be admitted.
     *
     * @param isStream whether the request is answered by a stream
     */
    public boolean hasCapacity(boolean isStream) {
        return occupancy(isStream) < 1;
    }

    /**
     * Returns how much is in use of what one more request may find in use; from 1 on, it cannot be
     * admitted.
     *
     * @param isStream whether the request is answered by a stream
     */
    public double occupancy(boolean isStream) {
        double maxReceived =
                isStream ? MAX_RECEIVED_SHARE_FOR_STREAM : MAX_RECEIVED_SHARE_FOR_SHORT;
        double fromCallers = receivedShare(LinkPeer.CALLER);
        double fromOthers = receivedShare() - fromCallers;
        if (maxReceived - fromCallers < RESERVED_FOR_RESPONSES) {
            return Math.max(fromOthers / RESERVED_FOR_RESPONSES, sentShare() / MAX_SENT_SHARE);
        }
        double maxSent = isStream ? MAX_SENT_SHARE_FOR_STREAM : MAX_SENT_SHARE_FOR_SHORT;
        return Math.max(fromOthers / (maxReceived - fromCallers), sentShare() / maxSent);
    }

    /** Returns the used share of the sending capacity. */
    public double sentShare() {
        return usedShare(sentBytes);
    }

    /** Returns the used share of the receiving capacity. */
    public double receivedShare() {
        return usedShare(receivedBytes);
    }

    /** Returns the share of the receiving capacity that one kind of peer uses. */
    public double receivedShare(LinkPeer peer) {
        return usedShare(receivedBytes[peer.ordinal()]);
    }

    private double usedShare(long[]... bytesByPeer) {
        if (windowCapacityBytes == 0) {
            return 0;
        }
        advanceWindow();
        long bytes = 0;
        for (long[] bytesBySlot : bytesByPeer) {
            bytes += Arrays.stream(bytesBySlot).sum();
        }
        return bytes / windowCapacityBytes;
    }

    private void advanceWindow() {
        long nowSlot = timers.nowMillis() / SLOT_MILLIS;
        for (long next = Math.max(currentSlot + 1, nowSlot - WINDOW_SLOTS + 1);
                next <= nowSlot;
                next++) {
            for (LinkPeer peer : LinkPeer.values()) {
                receivedBytes[peer.ordinal()][(int) (next % WINDOW_SLOTS)] = 0;
                sentBytes[peer.ordinal()][(int) (next % WINDOW_SLOTS)] = 0;
            }
        }
        currentSlot = Math.max(currentSlot, nowSlot);
    }
}
