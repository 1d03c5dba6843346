package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: the control log compared a keyed bill with those of all other ledgers. */
public record BillMet(String intentId) implements JournalRecord {}
