package dev.jayturn.core.journal;

/**
 * Decides when a journal that could not write tries again, and how long an instance goes on
 * meanwhile. Answers a disk that is full, faulty or hanging, for seconds or for hours, at an
 * instance to which the leader sends all that is not acknowledged several times a second.
 */
public final class JournalRetryPolicy {
    private static final long MIN_DELAY_MILLIS = 20;
    private static final long MAX_DELAY_MILLIS = 500;

    /** Records that may wait in memory, in bytes; a part of the smallest heap of an instance. */
    private static final long MAX_PENDING_BYTES = 16 << 20;

    /** Callbacks that may wait in memory. */
    private static final int MAX_WAITING_CALLBACKS = 4_096;

    /** A burst, such as a snapshot, may exceed the limit while a disk that works takes it. */
    private static final long MAX_BURST_MILLIS = 5_000;

    /** Longer than a disk hangs or an operator needs to make room, as a change of leader costs. */
    private static final long MAX_LEADING_MILLIS = 10_000;

    private JournalRetryPolicy() {}

    /**
     * Returns the time until the next attempt, in milliseconds.
     *
     * @param failures failed attempts in a row, at least 1
     */
    public static long retryDelayMillis(int failures) {
        long delayMillis = MIN_DELAY_MILLIS;
        for (int i = 1; i < failures && delayMillis < MAX_DELAY_MILLIS; i++) {
            delayMillis *= 2;
        }
        return Math.min(delayMillis, MAX_DELAY_MILLIS);
    }

    /**
     * Returns whether the process has to end, and start again with what is durable, because memory
     * holds too much that is not.
     *
     * @param pendingMillis age of the oldest operation that is not durable
     */
    public static boolean mustEnd(long pendingBytes, long pendingMillis) {
        return pendingBytes > MAX_PENDING_BYTES && pendingMillis >= MAX_BURST_MILLIS;
    }

    /**
     * Returns whether a callback that belongs to no record is dropped. What it would answer is sent
     * again by whoever waits for the answer.
     *
     * @param waiting callbacks that wait already
     * @param pendingMillis age of the oldest operation that is not durable
     */
    public static boolean mustDropCallback(int waiting, long pendingMillis) {
        return waiting >= MAX_WAITING_CALLBACKS && pendingMillis >= MAX_BURST_MILLIS;
    }

    /**
     * Returns whether a leader has to give up leadership. It goes on for a while, since the entries
     * that it sends are committed by the others; but it cannot be replaced as a voter while it
     * leads, and it cannot be elected again before its own vote is durable.
     */
    public static boolean mustResign(long pendingMillis) {
        return pendingMillis >= MAX_LEADING_MILLIS;
    }
}
