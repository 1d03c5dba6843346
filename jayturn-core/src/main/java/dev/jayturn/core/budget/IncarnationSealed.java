package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: the ledger accepts no more intents of this incarnation or an earlier one. */
public record IncarnationSealed(String instance, long incarnation) implements JournalRecord {}
