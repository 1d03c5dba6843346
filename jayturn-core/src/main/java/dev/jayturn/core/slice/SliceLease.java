package dev.jayturn.core.slice;

/**
 * A holder's promise: until its steady clock reaches the end it spends no more than its marks. The
 * holder promises when it hears the leader, and what is kept here is what it said it had promised:
 * a lease that the leader extends without the holder's knowledge would prove nothing.
 *
 * @param promised the holder's clocks when it promised
 * @param leaderWallMillis the leader's time of day when it heard of that
 */
public record SliceLease(String holder, ClockReading promised, long leaderWallMillis) {
    /** Length of a lease, in milliseconds. */
    public static final long DURATION_MILLIS = 3_400;

    /** Returns the time on the holder's steady clock from which it may spend all it holds. */
    public long endMillis() {
        return promised.monotonicMillis() + DURATION_MILLIS;
    }
}
