package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * Queries a ledger's totals of a budget and its newest bills.
 *
 * @param customer customer whose bills are returned; those of all customers if empty
 * @param limit maximum number of bills
 */
public record LedgerQuery(String queryId, String from, String budget, String customer, int limit)
        implements Message {}
