package dev.jayturn.lab.budgets;

/**
 * A request of the experiment.
 *
 * @param dataCentre data centre, from 0
 * @param budget budget, from 0
 * @param reservedTokens most tokens that it can use
 * @param usedTokens tokens that it uses
 * @param durationMillis time from its start to its settlement
 */
record Arrival(
        long arrivalMillis,
        int dataCentre,
        int budget,
        long reservedTokens,
        long usedTokens,
        long durationMillis) {}
