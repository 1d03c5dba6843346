package dev.jayturn.core.slice;

/**
 * What the control log's leader tells a holder of one customer's budget.
 *
 * @param issuedTotal tokens issued to the holder so far
 * @param markTotal most that the holder may draw while its lease runs
 * @param budgetRemaining tokens that nobody is known to have spent; never less than there are
 * @param recallTokens tokens to give back, as far as they are free
 */
public record SliceGrant(
        String customer,
        long issuedTotal,
        long markTotal,
        long budgetRemaining,
        long recallTokens) {}
