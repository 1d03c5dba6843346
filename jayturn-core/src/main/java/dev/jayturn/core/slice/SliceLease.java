package dev.jayturn.core.slice;

/**
 * A holder's promise to draw no more than its marks until the lease ends on its monotonic clock.
 * The holder renews the promise with each update from the leader, and the lease records the promise
 * as the holder reported it: if the leader extended a lease without the holder's knowledge, the
 * lease would not bound what the holder draws.
 *
 * <p>The lease restricts the holder: after its end the holder may spend its whole slice. A replaced
 * holder counts as having spent no more than its marks if it is shown to have ended within the
 * lease (see {@link SliceRetirement#isWithin}), and otherwise all of its outstanding tokens.
 *
 * @param promised the holder's clocks when it made the promise
 * @param leaderWallMillis the leader's wall clock when the holder made the promise, from the age of
 *     the promise in the holder's report, in milliseconds
 */
public record SliceLease(String holder, ClockReading promised, long leaderWallMillis) {
    /** Length of a lease, in milliseconds. */
    public static final long DURATION_MILLIS = 3_400;

    /**
     * Returns the time on the holder's monotonic clock from which it may spend its whole slice, in
     * milliseconds.
     */
    public long endMillis() {
        return promised.monotonicMillis() + DURATION_MILLIS;
    }
}
