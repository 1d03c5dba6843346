package dev.jayturn.lab.budgets;

/**
 * A request of a demand plan.
 *
 * @param arrivalMillis time of its arrival since the start of the run
 * @param dataCentre index of the data centre that receives it
 * @param budget index of the budget that pays for it
 * @param reservedTokens tokens reserved for it, the most that it can use
 * @param usedTokens tokens that it uses
 * @param durationMillis time from its admission to its settlement
 */
record Arrival(
        long arrivalMillis,
        int dataCentre,
        int budget,
        long reservedTokens,
        long usedTokens,
        long durationMillis) {}
