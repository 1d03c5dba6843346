package dev.jayturn.core.control;

import dev.jayturn.core.journal.JournalRecord;

/** Snapshot record: a rule of the version in force. */
public record RuleLine(String id, String line) implements JournalRecord {}
