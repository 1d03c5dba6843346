package dev.jayturn.core.retry;

/** Bounds retries to a share of the traffic, so that failures do not multiply the load. */
public final class RetryBudget {
    /** Retries earned by each request. */
    private static final double RETRIES_PER_REQUEST = 0.1;

    private static final double MAX_RETRIES = 10;

    private double availableRetries = MAX_RETRIES;

    /** Counts a request. */
    public void recordRequest() {
        availableRetries = Math.min(MAX_RETRIES, availableRetries + RETRIES_PER_REQUEST);
    }

    /** Returns whether a retry may be made, and takes it from the budget if so. */
    public boolean tryAcquire() {
        if (availableRetries < 1) {
            return false;
        }
        availableRetries -= 1;
        return true;
    }
}
