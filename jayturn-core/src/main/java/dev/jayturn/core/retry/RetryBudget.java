package dev.jayturn.core.retry;

/** Limits retries to a fraction of the requests, so that failures do not multiply the load. */
public final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAX_RETRIES = 10;

    private double availableRetries = MAX_RETRIES;

    /** Records a request, which adds its fraction of a retry to the budget. */
    public void recordRequest() {
        availableRetries = Math.min(MAX_RETRIES, availableRetries + RETRIES_PER_REQUEST);
    }

    /** Takes a retry from the budget; returns false if there is none. */
    public boolean tryAcquire() {
        if (availableRetries < 1) {
            return false;
        }
        availableRetries -= 1;
        return true;
    }
}
