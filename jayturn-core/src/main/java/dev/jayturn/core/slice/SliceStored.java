package dev.jayturn.core.slice;

import dev.jayturn.core.journal.JournalRecord;

/** Snapshot record of a holder's totals for one customer. */
public record SliceStored(String holder, String customer, SliceTotals totals)
        implements JournalRecord {}
