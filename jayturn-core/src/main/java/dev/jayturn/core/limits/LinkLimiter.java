package dev.jayturn.core.limits;

import dev.jayturn.core.timer.TimerService;

/**
 * Watches how full an instance's own network link is, and admits new work while there is room. The
 * pattern answered: the balancer sends all connections of a caller to one instance, so a customer
 * that sends three times its usual fills the link of one instance while its neighbours idle. Beyond
 * the link packets queue for seconds, connections cannot be made, and every request there is late.
 * Turned away at once, a caller comes back to another instance. Streams that run are never cut.
 */
public final class LinkLimiter {
    /** The bytes of so many slots are counted, each of so many milliseconds. */
    private static final int WINDOW_SLOTS = 8;

    private static final long SLOT_MILLIS = 50;

    /** Share of what the link sends up to which requests answered by a stream are admitted. */
    private static final double MAX_SENT_SHARE_FOR_STREAM = 0.75;

    /** Share of what the link sends up to which short requests are admitted. */
    private static final double MAX_SENT_SHARE_FOR_SHORT = 0.9;

    /** Shares of what it receives; requests that are turned away have been received, too. */
    private static final double MAX_RECEIVED_SHARE_FOR_STREAM = 0.8;

    private static final double MAX_RECEIVED_SHARE_FOR_SHORT = 0.95;

    private static final double BYTES_PER_MEGABIT = 125_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final TimerService timers;
    private final double windowCapacityBytes;
    private final long[] receivedBytes = new long[WINDOW_SLOTS];
    private final long[] sentBytes = new long[WINDOW_SLOTS];
    private long currentSlot;

    /**
     * Starts with an empty window.
     *
     * @param megabitsPerSecond what the link carries each way; 0 if it is not known, then there is
     *     always room
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

    /** Counts bytes received. */
    public void recordReceived(long bytes) {
        advanceWindow();
        receivedBytes[(int) (currentSlot % WINDOW_SLOTS)] += bytes;
    }

    /** Counts bytes sent. */
    public void recordSent(long bytes) {
        advanceWindow();
        sentBytes[(int) (currentSlot % WINDOW_SLOTS)] += bytes;
    }

    /** Returns whether one more request may be taken. */
    public boolean hasCapacity(boolean streams) {
        return sentShare() < (streams ? MAX_SENT_SHARE_FOR_STREAM : MAX_SENT_SHARE_FOR_SHORT)
                && receivedShare()
                        < (streams ? MAX_RECEIVED_SHARE_FOR_STREAM : MAX_RECEIVED_SHARE_FOR_SHORT);
    }

    /** Returns the share of the link in use for what is sent. */
    public double sentShare() {
        return usedShare(sentBytes);
    }

    /** Returns the share of the link in use for what is received. */
    public double receivedShare() {
        return usedShare(receivedBytes);
    }

    private double usedShare(long[] slots) {
        if (windowCapacityBytes == 0) {
            return 0;
        }
        advanceWindow();
        long bytes = 0;
        for (long each : slots) {
            bytes += each;
        }
        return bytes / windowCapacityBytes;
    }

    private void advanceWindow() {
        long now = timers.nowMillis() / SLOT_MILLIS;
        for (long next = Math.max(currentSlot + 1, now - WINDOW_SLOTS + 1); next <= now; next++) {
            receivedBytes[(int) (next % WINDOW_SLOTS)] = 0;
            sentBytes[(int) (next % WINDOW_SLOTS)] = 0;
        }
        currentSlot = Math.max(currentSlot, now);
    }
}
