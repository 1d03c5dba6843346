package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.ProposalCallback;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Forwards the operators' calls that this control instance receives to the leader and, on the
 * leader, executes the forwarded calls.
 */
final class ConfigurationCallHandler {
    /** Operators' clients try another control instance after 1 s without an answer. */
    private static final long CALL_TIMEOUT_MILLIS = 900;

    private static final long RETRY_INTERVAL_MILLIS = 150;

    private final String self;
    private final RaftNode raft;
    private final FleetState state;
    private final Transport transport;
    private final TimerService timers;
    private final Consumer<Map<String, Long>> budgetListener;
    private final Map<Long, PendingCall> pending = new HashMap<>();
    private ConfigurationListener listener = ConfigurationListener.NONE;
    private long lastId;

    private static final class PendingCall {
        final long deadlineMillis;
        final PutConfiguration put;
        final ConfigurationCallback callback;
        String sentTo = "";
        String reason = "no-leader";

        PendingCall(long deadlineMillis, PutConfiguration put, ConfigurationCallback callback) {
            this.deadlineMillis = deadlineMillis;
            this.put = put;
            this.callback = callback;
        }
    }

    /**
     * Creates a handler.
     *
     * @param epoch differs after each restart of the process. The calls are numbered from it, so
     *     that a late answer to a call of a former process answers none of this one.
     * @param budgetListener gets the prepaid tokens of each configuration that this instance, as
     *     the leader, has just proposed
     */
    ConfigurationCallHandler(
            String self,
            long epoch,
            RaftNode raft,
            FleetState state,
            Transport transport,
            TimerService timers,
            Consumer<Map<String, Long>> budgetListener) {
        this.self = self;
        this.raft = raft;
        this.state = state;
        this.transport = transport;
        this.timers = timers;
        this.budgetListener = budgetListener;
        this.lastId = epoch << Integer.SIZE;
    }

    void setListener(ConfigurationListener newListener) {
        listener = newListener;
    }

    /** Puts a configuration in force; version 0 reads the newest one. */
    void submit(PutConfiguration put, ConfigurationCallback callback) {
        long id = ++lastId;
        pending.put(id, new PendingCall(timers.nowMillis() + CALL_TIMEOUT_MILLIS, put, callback));
        sendToLeader(id);
    }

    private void sendToLeader(long id) {
        PendingCall call = pending.get(id);
        if (call == null) {
            return;
        }
        if (timers.nowMillis() >= call.deadlineMillis) {
            pending.remove(id);
            listener.onCallUnconfirmed(id, call.put.version(), call.reason, raft.leader());
            call.callback.onUnconfirmed();
            return;
        }
        String leader = raft.leader();
        if (!leader.isEmpty() && !leader.equals(call.sentTo)) {
            call.sentTo = leader;
            call.reason = "unanswered";
            listener.onCallForwarded(id, call.put.version(), leader);
            PutConfiguration put = call.put;
            byte[] document = put.version() == 0 ? null : put.document();
            transport.send(
                    leader,
                    new ConfigurationCall(self, id, put.version(), document, put.prepaid()));
        }
        timers.schedule(RETRY_INTERVAL_MILLIS, () -> sendToLeader(id));
    }

    boolean handle(Message message) {
        if (message instanceof ConfigurationCall call) {
            execute(call);
        } else if (message instanceof ConfigurationAnswer answer) {
            onAnswer(answer);
        } else {
            return false;
        }
        return true;
    }

    private void execute(ConfigurationCall call) {
        byte[] document = call.document();
        if (document == null || call.version() <= state.configuration().version()) {
            raft.confirmLeadership(sure -> sendAnswer(call, sure));
            return;
        }
        raft.propose(
                new PutConfiguration(call.version(), document, call.prepaid()),
                new ProposalCallback() {
                    @Override
                    public void onApplied(Object outcome) {
                        sendAnswer(call, true);
                    }

                    @Override
                    public void onLeadershipLost() {
                        sendAnswer(call, false);
                    }
                });
        budgetListener.accept(call.prepaid());
    }

    private void sendAnswer(ConfigurationCall call, boolean sure) {
        ConfigurationDocument current = state.configuration();
        boolean isRead = call.document() == null;
        transport.send(
                call.from(),
                new ConfigurationAnswer(
                        call.id(),
                        sure,
                        current.version(),
                        isRead ? current.document() : new byte[0],
                        self));
    }

    private void onAnswer(ConfigurationAnswer answer) {
        PendingCall call = pending.get(answer.id());
        if (call == null) {
            return;
        }
        listener.onCallAnswered(answer);
        if (!answer.sure()) {
            // Allows the next attempt to resend, to this leader or to another one.
            call.sentTo = "";
            call.reason = "unsure";
            return;
        }
        pending.remove(answer.id());
        call.callback.onConfirmed(new ConfigurationDocument(answer.version(), answer.document()));
    }
}
