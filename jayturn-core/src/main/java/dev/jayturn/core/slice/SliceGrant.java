package dev.jayturn.core.slice;

/**
 * What the control log's leader tells a holder of one customer's budget.
 *
 * @param issuedTotal tokens issued to the holder so far
 * @param left tokens that nobody is known to have spent; never less than there are
 * @param recall tokens to give back, as far as they are free
 */
public record SliceGrant(String customer, long issuedTotal, long left, long recall) {}
