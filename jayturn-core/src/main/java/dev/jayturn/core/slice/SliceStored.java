package dev.jayturn.core.slice;

import dev.jayturn.core.journal.JournalRecord;

/** Snapshot: a holder's totals for a customer. */
public record SliceStored(String holder, String customer, SliceTotals totals)
        implements JournalRecord {}
