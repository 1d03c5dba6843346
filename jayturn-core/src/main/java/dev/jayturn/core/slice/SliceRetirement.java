package dev.jayturn.core.slice;

/**
 * Retires a holder, whose incarnation has ended because another one started on its instance.
 *
 * @param started the clocks of the successor at its start
 * @param leaderWallMillis the leader's wall clock when the successor started, from the age of the
 *     start in the successor's reports, in milliseconds
 */
public record SliceRetirement(String holder, ClockReading started, long leaderWallMillis) {
    /**
     * Returns whether the successor's start proves that the holder's incarnation ended while the
     * lease ran. Within one boot of the machine, a start before the lease's end on the monotonic
     * clock is sufficient proof. Otherwise, as after a power loss, the wall clocks of the instance
     * and of the leader must both show it, so that a single clock that jumped back cannot cause a
     * wrong result.
     */
    boolean isWithin(SliceLease lease) {
        ClockReading promise = lease.promised();
        boolean sameBoot =
                started.bootId().equals(promise.bootId())
                        && started.monotonicMillis() >= promise.monotonicMillis();
        if (sameBoot && started.monotonicMillis() < lease.endMillis()) {
            return true;
        }
        long instanceElapsedMillis = started.wallMillis() - promise.wallMillis();
        long leaderElapsedMillis = leaderWallMillis - lease.leaderWallMillis();
        return instanceElapsedMillis >= 0
                && instanceElapsedMillis < SliceLease.DURATION_MILLIS
                && leaderElapsedMillis >= 0
                && leaderElapsedMillis < SliceLease.DURATION_MILLIS;
    }
}
