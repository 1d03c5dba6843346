package dev.jayturn.daemon.journal;

import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.journal.JournalRetryPolicy;
import dev.jayturn.core.timer.TimerService;
import java.util.function.LongConsumer;

/** Makes a leader whose journal stands still give up leadership. */
public final class StuckLeaderCheck {
    private static final long INTERVAL_MILLIS = 1_000;

    private StuckLeaderCheck() {}

    /**
     * Starts to check periodically.
     *
     * @param onResigned receives the age in milliseconds of the oldest operation that is not
     *     durable
     */
    public static void start(
            TimerService timers, RaftNode raft, FileJournal journal, LongConsumer onResigned) {
        timers.every(
                INTERVAL_MILLIS,
                () -> {
                    long pendingMillis = journal.pendingMillis();
                    if (raft.isLeader() && JournalRetryPolicy.mustResign(pendingMillis)) {
                        onResigned.accept(pendingMillis);
                        raft.resign();
                    }
                });
    }
}
