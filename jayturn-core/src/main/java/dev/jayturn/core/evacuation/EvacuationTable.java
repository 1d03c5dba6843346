package dev.jayturn.core.evacuation;

import dev.jayturn.core.journal.JournalRecord;
import java.util.List;
import java.util.TreeSet;

/** The emptied data centres, as a part of the replicated state. */
public final class EvacuationTable {
    /** Limits the size of snapshots and updates; far more than a fleet has data centres. */
    private static final int MAX_EMPTIED = 1_000;

    private final TreeSet<String> emptied = new TreeSet<>();
    private List<String> list = List.of();
    private long revision;

    /** Returns the index of the last order that had its effect; 0 if there was none. */
    public long revision() {
        return revision;
    }

    /** Returns the names of the emptied data centres in their order. */
    public List<String> emptied() {
        return list;
    }

    /**
     * Applies an order.
     *
     * @param index index of the order in the log
     * @return whether the state is as ordered. It is not if another order came between, or if the
     *     set holds the maximum number of data centres.
     */
    public boolean apply(long index, EvacuationOrder order) {
        if (emptied.contains(order.dataCentre()) == order.emptied()) {
            // An earlier, opposite order that is still on its way must not have its effect later.
            revision = index;
            return true;
        }
        if (order.revision() != revision || (order.emptied() && emptied.size() >= MAX_EMPTIED)) {
            return false;
        }
        if (order.emptied()) {
            emptied.add(order.dataCentre());
        } else {
            emptied.remove(order.dataCentre());
        }
        list = List.copyOf(emptied);
        revision = index;
        return true;
    }

    /** Returns the state for a snapshot; empty before the first change. */
    public List<JournalRecord> snapshot() {
        return revision == 0 ? List.of() : List.of(new EvacuationStored(revision, list));
    }

    /** Replaces the state by that of a snapshot. */
    public void restore(EvacuationStored stored) {
        emptied.clear();
        emptied.addAll(stored.emptied());
        list = List.copyOf(emptied);
        revision = stored.revision();
    }

    /** Replaces the state by the initial one. */
    public void clear() {
        restore(new EvacuationStored(0, List.of()));
    }
}
