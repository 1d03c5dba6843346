package dev.jayturn.core.rules;

/**
 * The customer and budget that a call is made for, with the limits that apply.
 *
 * @param customer the customer
 * @param budget the budget that the call is charged to
 * @param priority from 0 (lowest) to 9 (highest)
 * @param ratePerSecond maximum requests per second; 0 for no limit
 * @param concurrency maximum number of open requests; 0 for no limit
 * @param weight relative share of a full queue
 */
public record Principal(
        String customer,
        String budget,
        int priority,
        long ratePerSecond,
        long concurrency,
        int weight) {}
