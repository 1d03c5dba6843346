package dev.jayturn.core.control;

import dev.jayturn.core.journal.JournalRecord;

/**
 * Snapshot record: an accepted credit.
 *
 * @param index control log index of the credit
 */
public record CreditNoted(Credit credit, long index) implements JournalRecord {}
