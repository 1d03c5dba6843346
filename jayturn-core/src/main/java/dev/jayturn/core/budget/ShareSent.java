package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/**
 * Journal record: this ledger sent tokens to another ledger.
 *
 * @param total tokens of the budget ever sent to that ledger
 */
public record ShareSent(String budget, String to, long total) implements JournalRecord {}
