package dev.jayturn.core.budget;

/** Decides how many tokens a ledger transfers to a ledger that requests some. */
final class TransferPolicy {
    private TransferPolicy() {}

    /**
     * Returns the requested amount or half of the available tokens, whichever is more, but at most
     * the available tokens. The surplus lets the requesting ledger ask less often.
     */
    static long transferAmount(long need, long available) {
        if (available <= 0) {
            return 0;
        }
        return Math.min(available, Math.max(need, available / 2));
    }
}
