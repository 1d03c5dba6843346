package dev.jayturn.core.slice;

import dev.jayturn.core.journal.JournalRecord;

/** Snapshot: tokens of a customer that retired holders held. */
public record ConsumedStored(String customer, long tokens) implements JournalRecord {}
