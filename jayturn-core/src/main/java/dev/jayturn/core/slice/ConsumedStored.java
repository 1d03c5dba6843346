package dev.jayturn.core.slice;

import dev.jayturn.core.journal.JournalRecord;

/**
 * Snapshot record of the tokens of one customer that count as spent because retired holders may
 * have spent them.
 */
public record ConsumedStored(String customer, long tokens) implements JournalRecord {}
