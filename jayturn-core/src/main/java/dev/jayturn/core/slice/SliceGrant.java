package dev.jayturn.core.slice;

/**
 * Tells a holder the state of its slice of one customer's budget; sent by the control log's leader.
 *
 * @param issuedTotal cumulative total of tokens issued to the holder
 * @param markTotal cumulative total of tokens that the holder may draw while its lease runs
 * @param budgetRemaining prepaid tokens of the whole budget less those known to be spent; an upper
 *     bound on the unspent tokens
 * @param recallTokens tokens that the holder should return, as far as they are free
 */
public record SliceGrant(
        String customer,
        long issuedTotal,
        long markTotal,
        long budgetRemaining,
        long recallTokens) {}
