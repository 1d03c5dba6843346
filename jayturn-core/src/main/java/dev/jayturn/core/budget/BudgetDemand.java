package dev.jayturn.core.budget;

/**
 * A ledger's available tokens of a budget and the demand for them.
 *
 * @param available tokens that are neither reserved nor spent
 * @param perSecond tokens requested per second, smoothed; includes requests that were not reserved
 */
public record BudgetDemand(String budget, long available, double perSecond) {}
