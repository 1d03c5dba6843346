package dev.jayturn.core.drain;

/** The time that requests like one take, with few exceptions, from those that ended lately. */
final class ExpectedDuration {
    private static final double MEAN_WEIGHT = 1.0 / 16;
    private static final double DEVIATION_WEIGHT = 1.0 / 16;

    /** Deviations above the mean that few requests exceed, as for retransmission timeouts. */
    private static final int DEVIATIONS = 4;

    private double meanMillis;
    private double deviationMillis;

    ExpectedDuration(long firstMillis) {
        meanMillis = firstMillis;
        deviationMillis = firstMillis / 2.0;
    }

    void record(long millis) {
        deviationMillis += DEVIATION_WEIGHT * (Math.abs(millis - meanMillis) - deviationMillis);
        meanMillis += MEAN_WEIGHT * (millis - meanMillis);
    }

    long upperMillis() {
        return (long) Math.ceil(meanMillis + DEVIATIONS * deviationMillis);
    }
}
