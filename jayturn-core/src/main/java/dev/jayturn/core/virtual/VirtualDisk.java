package dev.jayturn.core.virtual;

import dev.jayturn.core.journal.Journal;
import dev.jayturn.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * A simulated disk. Records become durable when their sync completes; a crash of the process loses
 * records that are not synced yet.
 */
public final class VirtualDisk {
    private static final int SYNC_MILLIS = 6;

    private final VirtualTime time;
    private List<JournalRecord> durable = new ArrayList<>();
    private final List<Runnable> failedSyncs = new ArrayList<>();
    private boolean syncsFail;
    private LongSupplier syncMillis = () -> SYNC_MILLIS;
    private long lastCompletionMillis;

    public VirtualDisk(VirtualTime time) {
        this.time = time;
    }

    /** Returns the durable records. */
    public List<JournalRecord> records() {
        return new ArrayList<>(durable);
    }

    /** Sets how long each later sync takes, in milliseconds. */
    public void setSyncMillis(LongSupplier millis) {
        syncMillis = millis;
    }

    /** Makes all later syncs fail, and those in flight, until they are resumed. */
    public void failSyncs() {
        syncsFail = true;
    }

    /** Lets syncs succeed again; those that failed are repeated. */
    public void resumeSyncs() {
        syncsFail = false;
        List<Runnable> repeated = new ArrayList<>(failedSyncs);
        failedSyncs.clear();
        repeated.forEach(Runnable::run);
    }

    /** Opens a journal for a process. */
    public Journal openJournal(VirtualProcess process) {
        return new VirtualJournal(process);
    }

    private final class VirtualJournal implements Journal {
        private final VirtualProcess process;
        private long appended;

        VirtualJournal(VirtualProcess process) {
            this.process = process;
        }

        @Override
        public void append(JournalRecord journalRecord, Runnable onDurable) {
            appended++;
            afterSync(() -> durable.add(journalRecord), onDurable);
        }

        @Override
        public void whenDurable(Runnable onDurable) {
            afterSync(() -> {}, onDurable);
        }

        @Override
        public void rewrite(List<JournalRecord> records) {
            appended = 0;
            List<JournalRecord> copy = new ArrayList<>(records);
            afterSync(() -> durable = copy, () -> {});
        }

        private void afterSync(Runnable change, Runnable onDurable) {
            // Syncs of different lengths complete in order.
            long now = time.nowMillis();
            lastCompletionMillis = Math.max(lastCompletionMillis, now + syncMillis.getAsLong());
            time.schedule(lastCompletionMillis - now, () -> complete(change, onDurable));
        }

        private void complete(Runnable change, Runnable onDurable) {
            if (syncsFail) {
                failedSyncs.add(() -> complete(change, onDurable));
            } else if (process.isRunning()) {
                change.run();
                process.run(onDurable);
            }
        }

        @Override
        public long recordsSinceRewrite() {
            return appended;
        }
    }
}
