package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/**
 * Journal record: this ledger credited tokens that another ledger sent.
 *
 * @param total tokens of the budget ever received from that ledger
 */
public record ShareTaken(String budget, String from, long total) implements JournalRecord {}
