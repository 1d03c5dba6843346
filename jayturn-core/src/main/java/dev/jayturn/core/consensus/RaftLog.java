package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.Journal;
import dev.jayturn.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.List;

/** The replicated log: a snapshot and the entries after it, in memory and in the journal. */
final class RaftLog {
    private final Journal journal;
    private final List<LogEntry> entries = new ArrayList<>();
    private SnapshotStart snapshotStart = new SnapshotStart(0, 0, List.of());
    private List<JournalRecord> snapshotItems = new ArrayList<>();
    private long recordedCommitIndex;
    private TermVote termVote = new TermVote(0, "");
    private long durableIndex;

    RaftLog(Journal journal) {
        this.journal = journal;
    }

    /** Applies a record that was read back from the journal. */
    void recover(JournalRecord journalRecord) {
        if (journalRecord instanceof TermVote vote) {
            termVote = vote;
        } else if (journalRecord instanceof SnapshotStart start) {
            snapshotStart = start;
            snapshotItems = new ArrayList<>();
            entries.clear();
        } else if (journalRecord instanceof SnapshotItem item) {
            snapshotItems.add(item.item());
        } else if (journalRecord instanceof LogEntry entry) {
            truncateAndAdd(entry);
        } else if (journalRecord instanceof CommitNoted committed) {
            recordedCommitIndex = committed.index();
        }
        durableIndex = lastIndex();
    }

    boolean isEmpty() {
        return snapshotStart.index() == 0 && entries.isEmpty();
    }

    TermVote termVote() {
        return termVote;
    }

    void setTermVote(TermVote vote, Runnable onDurable) {
        termVote = vote;
        journal.append(vote, onDurable);
    }

    /** Appends an entry; entries at its index and after it are removed. */
    void append(LogEntry entry, Runnable onDurable) {
        truncateAndAdd(entry);
        durableIndex = Math.min(durableIndex, entry.index() - 1);
        journal.append(entry, () -> onDurable(entry.index(), onDurable));
    }

    private void truncateAndAdd(LogEntry entry) {
        int offset = (int) (entry.index() - snapshotStart.index() - 1);
        if (offset < entries.size()) {
            entries.subList(offset, entries.size()).clear();
        }
        entries.add(entry);
    }

    /** Returns the highest index that the journal records as committed. */
    long recordedCommitIndex() {
        return Math.min(Math.max(recordedCommitIndex, snapshotStart.index()), lastIndex());
    }

    void recordCommit(long index, Runnable onDurable) {
        recordedCommitIndex = index;
        journal.append(new CommitNoted(index), () -> onDurable(index, onDurable));
    }

    private void onDurable(long index, Runnable callback) {
        durableIndex = Math.max(durableIndex, index);
        callback.run();
    }

    MemberStatus status(long commitIndex, long leaderSilentMillis, int votes) {
        return new MemberStatus(lastIndex(), durableIndex, commitIndex, leaderSilentMillis, votes);
    }

    void whenDurable(Runnable onDurable) {
        journal.whenDurable(onDurable);
    }

    long lastIndex() {
        return snapshotStart.index() + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    SnapshotStart snapshotStart() {
        return snapshotStart;
    }

    List<JournalRecord> snapshotItems() {
        return snapshotItems;
    }

    /** Returns the term of the entry at an index, or -1 if the log does not contain the entry. */
    long termAt(long index) {
        if (index == snapshotStart.index()) {
            return snapshotStart.term();
        }
        if (index < snapshotStart.index() || index > lastIndex()) {
            return -1;
        }
        return entry(index).term();
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - snapshotStart.index() - 1));
    }

    /**
     * Returns the entries from an index on, up to a number of entries and of payload bytes; one
     * entry at least, if there is any.
     */
    List<LogEntry> entriesFrom(long index, int maxEntries, int maxBytes) {
        int start = (int) (index - snapshotStart.index() - 1);
        int limit = Math.min(entries.size(), start + maxEntries);
        int end = start;
        long bytes = 0;
        while (end < limit) {
            bytes += entries.get(end).command().payloadBytes();
            if (bytes > maxBytes && end > start) {
                break;
            }
            end++;
        }
        return new ArrayList<>(entries.subList(start, end));
    }

    /** Returns the members after the last membership change up to an index. */
    MemberSet membersAt(long index) {
        for (long i = Math.min(index, lastIndex()); i > snapshotStart.index(); i--) {
            if (entry(i).command() instanceof MemberChange change) {
                return new MemberSet(change.members());
            }
        }
        return new MemberSet(snapshotStart.members());
    }

    /** Replaces the entries up to the index of a snapshot by the snapshot. */
    void compact(SnapshotStart start, List<JournalRecord> items) {
        int coveredEntries = (int) (start.index() - snapshotStart.index());
        entries.subList(0, Math.min(coveredEntries, entries.size())).clear();
        snapshotStart = start;
        snapshotItems = items;
        rewriteJournal();
    }

    /**
     * Installs a snapshot from the leader. Keeps the entries after it only if the log contains the
     * snapshot's last entry.
     */
    void install(SnapshotStart start, List<JournalRecord> items) {
        boolean containsSnapshotEnd = termAt(start.index()) == start.term();
        if (!containsSnapshotEnd) {
            entries.clear();
            snapshotStart = start;
        }
        compact(start, items);
    }

    /** Replaces the content of the journal by the state in memory. */
    void rewriteJournal() {
        List<JournalRecord> records = new ArrayList<>();
        records.add(termVote);
        records.add(snapshotStart);
        for (JournalRecord item : snapshotItems) {
            records.add(new SnapshotItem(item));
        }
        records.addAll(entries);
        records.add(new CommitNoted(recordedCommitIndex));
        journal.rewrite(records);
    }
}
