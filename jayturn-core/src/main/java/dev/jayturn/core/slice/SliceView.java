package dev.jayturn.core.slice;

/**
 * The state of one customer's slice on which a budget decision is based.
 *
 * @param free tokens that are not spent, reserved, returned or transferred
 * @param belowMark tokens that the mark allows in addition to those drawn
 * @param limitedToMark whether a lease runs, so that the mark limits what may be drawn
 * @param budgetRemaining upper bound on the unspent tokens of the whole budget, as last sent by the
 *     leader
 */
public record SliceView(long free, long belowMark, boolean limitedToMark, long budgetRemaining) {}
