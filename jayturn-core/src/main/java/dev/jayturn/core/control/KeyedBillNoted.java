package dev.jayturn.core.control;

import dev.jayturn.core.budget.KeyedBill;
import dev.jayturn.core.journal.JournalRecord;

/** Snapshot record: the first bill of a call that has an idempotency key. */
public record KeyedBillNoted(KeyedBill bill) implements JournalRecord {}
