package dev.jayturn.core.slice;

/**
 * A holder is dead, since another incarnation started on its instance.
 *
 * @param started the successor's clocks at its start
 * @param leaderWallMillis the leader's time of day when it heard of the successor
 */
public record SliceRetirement(String holder, ClockReading started, long leaderWallMillis) {
    /** Time that a restarted control instance takes to lead, in milliseconds. */
    private static final long LEADER_RESTART_MILLIS = 3_000;

    /**
     * Returns whether the holder died while its lease ran. Within one run of the machine the steady
     * clock alone shows it. After a power loss the times of day of the instance and of the leaders
     * both have to: one that jumped back is then not enough to be wrong.
     */
    boolean isWithin(SliceLease lease) {
        ClockReading last = lease.promised();
        boolean sameRun =
                started.bootId().equals(last.bootId())
                        && started.monotonicMillis() >= last.monotonicMillis();
        if (sameRun && started.monotonicMillis() < lease.endMillis()) {
            return true;
        }
        long own = started.wallMillis() - last.wallMillis();
        long leaders = leaderWallMillis - lease.leaderWallMillis();
        return own >= 0
                && own < SliceLease.DURATION_MILLIS
                && leaders >= 0
                && leaders < SliceLease.DURATION_MILLIS + LEADER_RESTART_MILLIS;
    }
}
