package dev.jayturn.core.slice;

import dev.jayturn.core.journal.JournalRecord;

/** Snapshot record of a retired holder. */
public record RetiredStored(String holder) implements JournalRecord {}
