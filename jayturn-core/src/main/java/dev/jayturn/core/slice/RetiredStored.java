package dev.jayturn.core.slice;

import dev.jayturn.core.journal.JournalRecord;

/** Snapshot: a holder that was retired. */
public record RetiredStored(String holder) implements JournalRecord {}
