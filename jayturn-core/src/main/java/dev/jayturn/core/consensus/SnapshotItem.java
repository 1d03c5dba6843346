package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: one record of the state machine's snapshot. */
public record SnapshotItem(JournalRecord item) implements JournalRecord {}
