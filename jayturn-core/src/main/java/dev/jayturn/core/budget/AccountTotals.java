package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/** Journal snapshot record: tokens of a budget that this ledger billed. */
public record AccountTotals(String budget, long spent) implements JournalRecord {}
