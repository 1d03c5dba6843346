package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: an entry of the replicated log; replaces the entries from its index on. */
public record LogEntry(long index, long term, Command command) implements JournalRecord {}
