package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;
import java.util.List;

/** Journal record: begins a snapshot up to an index; its items follow. */
public record SnapshotStart(long index, long term, List<Member> members) implements JournalRecord {}
