package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: all entries up to an index are committed. */
public record CommitNoted(long index) implements JournalRecord {}
