package dev.jayturn.core.consensus;

import dev.jayturn.core.timer.TimerService;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The operators' calls that this instance has received and that the leader has not answered yet.
 * Each one is sent again if the leader changes or could not confirm it.
 *
 * @param <C> type of the calls
 */
public final class LeaderCalls<C extends LeaderCalls.Call> {
    /** Operators' clients try another control instance after 1 s without an answer. */
    private static final long CALL_TIMEOUT_MILLIS = 900;

    private static final long RETRY_INTERVAL_MILLIS = 150;

    private final RaftNode raft;
    private final TimerService timers;
    private final Map<Long, Pending<C>> pending = new HashMap<>();
    private long lastId;

    /** A call that the leader has to answer. */
    public interface Call {
        /** Sends the call to the leader under an id. */
        void sendTo(String leader, long id);

        /**
         * Called when the time for the call is over; it may still be executed.
         *
         * @param reason {@code no-leader} if none was known, {@code unsure} if the leader could not
         *     confirm it, {@code unanswered} if the leader sent no answer
         */
        void onUnconfirmed(long id, String reason);
    }

    private static final class Pending<C> {
        final C call;
        final long deadlineMillis;
        String sentTo = "";
        String reason = "no-leader";

        Pending(C call, long deadlineMillis) {
            this.call = call;
            this.deadlineMillis = deadlineMillis;
        }
    }

    /**
     * Creates an empty table of calls.
     *
     * @param epoch differs after each restart of the process. The calls are numbered from it, so
     *     that a late answer to a call of a former process answers none of this one.
     */
    public LeaderCalls(long epoch, RaftNode raft, TimerService timers) {
        this.raft = raft;
        this.timers = timers;
        this.lastId = epoch << Integer.SIZE;
    }

    /** Sends a call to the leader, as soon as one is known. */
    public void submit(C call) {
        long id = ++lastId;
        pending.put(id, new Pending<>(call, timers.nowMillis() + CALL_TIMEOUT_MILLIS));
        attempt(id);
    }

    private void attempt(long id) {
        if (trySend(id)) {
            timers.schedule(RETRY_INTERVAL_MILLIS, () -> attempt(id));
        }
    }

    /** Sends a call that the leader has not got; returns false if the call has ended. */
    private boolean trySend(long id) {
        Pending<C> entry = pending.get(id);
        if (entry == null) {
            return false;
        }
        if (timers.nowMillis() >= entry.deadlineMillis) {
            pending.remove(id);
            entry.call.onUnconfirmed(id, entry.reason);
            return false;
        }
        String leader = raft.leader();
        if (!leader.isEmpty() && !leader.equals(entry.sentTo)) {
            entry.sentTo = leader;
            entry.reason = "unanswered";
            entry.call.sendTo(leader, id);
        }
        return true;
    }

    /** Returns a call that is still open; null if there is none with the id. */
    public @Nullable C find(long id) {
        Pending<C> entry = pending.get(id);
        return entry == null ? null : entry.call;
    }

    /** Ends a call that was answered. */
    public void remove(long id) {
        pending.remove(id);
    }

    /** Lets the next attempt send a call again, to this leader or to another one. */
    public void onUnsure(long id) {
        Pending<C> entry = pending.get(id);
        if (entry != null) {
            entry.sentTo = "";
            entry.reason = "unsure";
        }
    }

    /** Sends a call again at once, unless its time is over. */
    public void sendAgain(long id) {
        onUnsure(id);
        trySend(id);
    }
}
