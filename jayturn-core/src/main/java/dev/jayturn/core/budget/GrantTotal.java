package dev.jayturn.core.budget;

/**
 * The cumulative grant of a budget to one ledger.
 *
 * @param total tokens granted since the budget was created
 */
public record GrantTotal(String budget, long total) {}
