package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: a bill is void, because the control log knows an earlier bill of its call. */
public record BillRepeated(String intentId) implements JournalRecord {}
