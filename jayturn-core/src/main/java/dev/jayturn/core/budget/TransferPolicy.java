package dev.jayturn.core.budget;

/** How much of a holding is given to a ledger that asks. */
final class TransferPolicy {
    private TransferPolicy() {}

    /**
     * Returns the need if it is there, and up to half of the holding so that it asks less often.
     */
    static long transferAmount(long need, long available) {
        if (available <= 0) {
            return 0;
        }
        return Math.min(available, Math.max(need, available / 2));
    }
}
