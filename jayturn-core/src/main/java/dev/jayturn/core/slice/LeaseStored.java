package dev.jayturn.core.slice;

import dev.jayturn.core.journal.JournalRecord;

/** Snapshot record of a holder's lease. */
public record LeaseStored(SliceLease lease) implements JournalRecord {}
