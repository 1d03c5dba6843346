package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: an incarnation of an instance became its current one. */
public record IncarnationStarted(String instance, long incarnation) implements JournalRecord {}
