package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: an intent was settled with the number of tokens that were used. */
public record IntentClosed(String intentId, long tokens) implements JournalRecord {}
