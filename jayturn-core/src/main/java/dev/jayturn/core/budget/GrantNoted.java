package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/**
 * Journal record: the control log granted tokens to this ledger.
 *
 * @param total tokens of the budget ever granted to this ledger
 * @param index control log index up to which all grants are recorded; 0 leaves the index unchanged
 */
public record GrantNoted(String budget, long total, long index) implements JournalRecord {}
