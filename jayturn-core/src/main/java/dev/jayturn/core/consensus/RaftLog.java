package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.Journal;
import dev.jayturn.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.List;

/** The log in memory and its mirror in the journal: a snapshot and the entries after it. */
final class RaftLog {
    private final Journal journal;
    private final List<LogEntry> entries = new ArrayList<>();
    private SnapshotStart snapshotStart = new SnapshotStart(0, 0, List.of());
    private List<JournalRecord> snapshotItems = new ArrayList<>();
    private long recordedCommitIndex;
    private TermVote termVote = new TermVote(0, "");

    RaftLog(Journal journal) {
        this.journal = journal;
    }

    void recover(JournalRecord entry) {
        if (entry instanceof TermVote vote) {
            termVote = vote;
        } else if (entry instanceof SnapshotStart start) {
            snapshotStart = start;
            snapshotItems = new ArrayList<>();
            entries.clear();
        } else if (entry instanceof SnapshotItem item) {
            snapshotItems.add(item.item());
        } else if (entry instanceof LogEntry logged) {
            truncateAndAdd(logged);
        } else if (entry instanceof CommitNoted noted) {
            recordedCommitIndex = noted.index();
        }
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

    void append(LogEntry entry, Runnable onDurable) {
        truncateAndAdd(entry);
        journal.append(entry, onDurable);
    }

    private void truncateAndAdd(LogEntry entry) {
        int offset = (int) (entry.index() - snapshotStart.index() - 1);
        if (offset < entries.size()) {
            entries.subList(offset, entries.size()).clear();
        }
        entries.add(entry);
    }

    /** Returns the highest index that was noted as committed. */
    long recordedCommitIndex() {
        return Math.min(Math.max(recordedCommitIndex, snapshotStart.index()), lastIndex());
    }

    void recordCommit(long index, Runnable onDurable) {
        recordedCommitIndex = index;
        journal.append(new CommitNoted(index), onDurable);
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

    /** Returns the term of the entry at an index, or -1 if the log does not hold it. */
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

    List<LogEntry> entriesFrom(long from, int most) {
        int start = (int) (from - snapshotStart.index() - 1);
        int end = Math.min(entries.size(), start + most);
        return new ArrayList<>(entries.subList(start, end));
    }

    /** Returns the members by the last change up to an index. */
    MemberSet membersAt(long index) {
        for (long i = Math.min(index, lastIndex()); i > snapshotStart.index(); i--) {
            if (entry(i).command() instanceof MemberChange change) {
                return new MemberSet(change.members());
            }
        }
        return new MemberSet(snapshotStart.members());
    }

    /** Replaces the entries up to the snapshot's index by the snapshot. */
    void compact(SnapshotStart start, List<JournalRecord> items) {
        int covered = (int) (start.index() - snapshotStart.index());
        entries.subList(0, Math.min(covered, entries.size())).clear();
        snapshotStart = start;
        snapshotItems = items;
        rewriteJournal();
    }

    /** Replaces the whole log by a snapshot from the leader. */
    void install(SnapshotStart start, List<JournalRecord> items) {
        boolean keepsTail = termAt(start.index()) == start.term();
        if (!keepsTail) {
            entries.clear();
            snapshotStart = start;
        }
        compact(start, items);
    }

    private void rewriteJournal() {
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
