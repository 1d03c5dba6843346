package dev.jayturn.core.evacuation;

import dev.jayturn.core.consensus.CommandLevel;
import dev.jayturn.core.consensus.LeaderCalls;
import dev.jayturn.core.consensus.ProposalCallback;
import dev.jayturn.core.consensus.QuorumStatus;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;

/**
 * Forwards the operators' orders that this control instance receives to the leader and, on the
 * leader, executes the forwarded orders.
 */
public final class EvacuationCallHandler {
    private static final long TICK_INTERVAL_MILLIS = 100;

    /** Without a tick for this time the process stood still. */
    private static final long STANDSTILL_MILLIS = 700;

    /** Time in which a process that stood still reads what had arrived meanwhile. */
    private static final long CATCH_UP_MILLIS = 1_000;

    private final String self;
    private final RaftNode raft;
    private final EvacuationTable table;
    private final Transport transport;
    private final TimerService timers;
    private final LeaderCalls<PendingOrder> calls;
    private EvacuationListener listener = EvacuationListener.NONE;
    private long lastTickMillis;
    private long caughtUpMillis = Long.MIN_VALUE / 2;

    private final class PendingOrder implements LeaderCalls.Call {
        final EvacuationCallback callback;
        EvacuationOrder order;

        PendingOrder(EvacuationOrder order, EvacuationCallback callback) {
            this.order = order;
            this.callback = callback;
        }

        @Override
        public void sendTo(String leader, long id) {
            listener.onForwarded(id, order, leader);
            transport.send(
                    leader,
                    new EvacuationCall(
                            self, id, order.dataCentre(), order.emptied(), order.revision()));
        }

        @Override
        public void onUnconfirmed(long id, String reason) {
            listener.onUnconfirmed(id, order, reason, raft.leader());
            callback.onUnconfirmed();
        }
    }

    /**
     * Creates a handler.
     *
     * @param epoch differs after each restart of the process
     */
    public EvacuationCallHandler(
            String self,
            long epoch,
            RaftNode raft,
            EvacuationTable table,
            Transport transport,
            TimerService timers) {
        this.self = self;
        this.raft = raft;
        this.table = table;
        this.transport = transport;
        this.timers = timers;
        this.calls = new LeaderCalls<>(epoch, raft, timers);
        this.lastTickMillis = timers.nowMillis();
        timers.every(TICK_INTERVAL_MILLIS, this::checkForStandstill);
    }

    /** Sets the listener that learns how orders are answered. */
    public void setListener(EvacuationListener newListener) {
        listener = newListener;
    }

    private void checkForStandstill() {
        long now = timers.nowMillis();
        if (now - lastTickMillis > STANDSTILL_MILLIS) {
            caughtUpMillis = now + CATCH_UP_MILLIS;
        }
        lastTickMillis = now;
    }

    /**
     * Empties a data centre or takes it back. An order that a process which stood still reads
     * afterwards may be old, and its operator may have given the opposite one since; it is left
     * unconfirmed.
     */
    public void submit(String dataCentre, boolean emptied, EvacuationCallback callback) {
        PendingOrder pending =
                new PendingOrder(
                        new EvacuationOrder(dataCentre, emptied, table.revision()), callback);
        checkForStandstill();
        if (timers.nowMillis() < caughtUpMillis) {
            pending.onUnconfirmed(0, "stood-still");
            return;
        }
        calls.submit(pending);
    }

    /** Handles a message; returns false if it is none of this handler's. */
    public boolean handle(Message message) {
        if (message instanceof EvacuationCall call) {
            execute(call);
        } else if (message instanceof EvacuationAnswer answer) {
            onAnswer(answer);
        } else {
            return false;
        }
        return true;
    }

    private void execute(EvacuationCall call) {
        QuorumStatus quorum = raft.quorumStatus();
        if (quorum == null || !quorum.canApply(CommandLevel.EVACUATION)) {
            sendAnswer(call, false, false);
            return;
        }
        raft.propose(
                new EvacuationOrder(call.dataCentre(), call.emptied(), call.revision()),
                new ProposalCallback() {
                    @Override
                    public void onApplied(Object outcome) {
                        sendAnswer(call, true, Boolean.TRUE.equals(outcome));
                    }

                    @Override
                    public void onLeadershipLost() {
                        sendAnswer(call, false, false);
                    }
                });
    }

    private void sendAnswer(EvacuationCall call, boolean sure, boolean applied) {
        transport.send(
                call.from(),
                new EvacuationAnswer(call.id(), sure, applied, table.revision(), self));
    }

    private void onAnswer(EvacuationAnswer answer) {
        PendingOrder pending = calls.find(answer.id());
        if (pending == null) {
            return;
        }
        listener.onAnswered(pending.order, answer);
        EvacuationOrder order = pending.order;
        if (answer.sure() && answer.applied()) {
            calls.remove(answer.id());
            pending.callback.onConfirmed();
        } else if (answer.sure() && answer.revision() > order.revision()) {
            pending.order =
                    new EvacuationOrder(order.dataCentre(), order.emptied(), answer.revision());
            calls.sendAgain(answer.id());
        } else {
            calls.onUnsure(answer.id());
        }
    }
}
