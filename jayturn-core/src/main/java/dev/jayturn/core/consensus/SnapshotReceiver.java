package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.List;

/** Assembles a snapshot from the chunks that the leader sends in order. */
final class SnapshotReceiver {
    private List<JournalRecord> items = new ArrayList<>();
    private long index = -1;
    private long term = -1;
    private boolean complete;

    /**
     * Adds a chunk if it is the next one; a chunk of another snapshot or term starts over. Returns
     * the offset expected next, or one more than the number of items once the snapshot is complete.
     */
    int accept(InstallChunk chunk) {
        if (chunk.start().index() != index || chunk.term() != term) {
            index = chunk.start().index();
            term = chunk.term();
            items = new ArrayList<>();
            complete = false;
        }
        if (chunk.offset() == items.size() && !complete) {
            items.addAll(chunk.items());
            complete = chunk.last();
        }
        return complete ? items.size() + 1 : items.size();
    }

    boolean isComplete() {
        return complete;
    }

    List<JournalRecord> items() {
        return items;
    }
}
