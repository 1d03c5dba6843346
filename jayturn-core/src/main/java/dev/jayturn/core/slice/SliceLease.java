package dev.jayturn.core.slice;

/**
 * A holder's promise: until its steady clock reaches the end it spends no more than its marks.
 *
 * @param reported the holder's clocks when it last reported
 * @param leaderWallMillis the leader's time of day then
 */
public record SliceLease(String holder, LifeClock reported, long leaderWallMillis) {
    /** Length of a lease, in milliseconds. */
    public static final long MILLIS = 3_400;

    /** Returns the time on the holder's steady clock from which it may spend all it holds. */
    public long endMillis() {
        return reported.steadyMillis() + MILLIS;
    }
}
