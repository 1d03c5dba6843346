package dev.jayturn.core.virtual;

import dev.jayturn.core.journal.Journal;
import dev.jayturn.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.List;

/** A disk whose records last once a sync has ended; a crash loses what was not synced. */
public final class VirtualDisk {
    private static final int SYNC_MILLIS = 6;

    private final VirtualTime time;
    private List<JournalRecord> durable = new ArrayList<>();
    private boolean syncsFail;

    public VirtualDisk(VirtualTime time) {
        this.time = time;
    }

    /** Returns the records that last. */
    public List<JournalRecord> records() {
        return new ArrayList<>(durable);
    }

    /** From now on no sync succeeds. */
    public void failSyncs() {
        syncsFail = true;
    }

    /** Opens a journal for one life of a process. */
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
        public void append(JournalRecord entry, Runnable onDurable) {
            appended++;
            afterSync(() -> durable.add(entry), onDurable);
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
            time.schedule(
                    SYNC_MILLIS,
                    () -> {
                        if (process.isRunning() && !syncsFail) {
                            change.run();
                            process.run(onDurable);
                        }
                    });
        }

        @Override
        public long recordsSinceRewrite() {
            return appended;
        }
    }
}
