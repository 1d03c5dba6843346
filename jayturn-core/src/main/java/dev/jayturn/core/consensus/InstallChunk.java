package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * Sends a chunk of a snapshot, as Raft InstallSnapshot.
 *
 * @param start index, term and members of the snapshot
 * @param offset position of the first item in the snapshot
 * @param last whether this is the last chunk
 */
public record InstallChunk(
        String from,
        String to,
        long term,
        SnapshotStart start,
        int offset,
        List<JournalRecord> items,
        boolean last)
        implements Message {}
