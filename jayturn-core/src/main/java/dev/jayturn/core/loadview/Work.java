package dev.jayturn.core.loadview;

/**
 * Work in flight at an upstream.
 *
 * @param waitingUnits waiting prompt tokens, in units of {@link #TOKENS_OF_A_UNIT}
 */
record Work(int requests, int waitingUnits) {
    static final int TOKENS_OF_A_UNIT = 64;

    static final Work NONE = new Work(0, 0);

    static Work of(int requests, long waitingTokens) {
        long units = (Math.max(0, waitingTokens) + TOKENS_OF_A_UNIT / 2) / TOKENS_OF_A_UNIT;
        return new Work(Math.max(0, requests), (int) Math.min(Integer.MAX_VALUE, units));
    }

    long waitingTokens() {
        return (long) waitingUnits * TOKENS_OF_A_UNIT;
    }

    Work plus(Work other) {
        return new Work(
                saturated((long) requests + other.requests),
                saturated((long) waitingUnits + other.waitingUnits));
    }

    /** Returns what is left without a part, at least nothing. */
    Work minus(Work part) {
        return new Work(
                Math.max(0, requests - part.requests),
                Math.max(0, waitingUnits - part.waitingUnits));
    }

    private static int saturated(long value) {
        return (int) Math.min(Integer.MAX_VALUE, value);
    }
}
