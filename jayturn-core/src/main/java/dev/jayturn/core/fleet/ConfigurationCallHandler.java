package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.LeaderCalls;
import dev.jayturn.core.consensus.ProposalCallback;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Forwards the operators' calls that this control instance receives to the leader and, on the
 * leader, executes the forwarded calls.
 */
final class ConfigurationCallHandler {
    private final String self;
    private final RaftNode raft;
    private final FleetState state;
    private final Transport transport;
    private final Consumer<Map<String, Long>> budgetListener;
    private final LeaderCalls<PendingCall> calls;
    private ConfigurationListener listener = ConfigurationListener.NONE;

    private final class PendingCall implements LeaderCalls.Call {
        final PutConfiguration put;
        final ConfigurationCallback callback;

        PendingCall(PutConfiguration put, ConfigurationCallback callback) {
            this.put = put;
            this.callback = callback;
        }

        @Override
        public void sendTo(String leader, long id) {
            listener.onCallForwarded(id, put.version(), leader);
            byte[] document = put.version() == 0 ? null : put.document();
            transport.send(
                    leader,
                    new ConfigurationCall(self, id, put.version(), document, put.prepaid()));
        }

        @Override
        public void onUnconfirmed(long id, String reason) {
            listener.onCallUnconfirmed(id, put.version(), reason, raft.leader());
            callback.onUnconfirmed();
        }
    }

    /**
     * Creates a handler.
     *
     * @param epoch differs after each restart of the process
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
        this.budgetListener = budgetListener;
        this.calls = new LeaderCalls<>(epoch, raft, timers);
    }

    void setListener(ConfigurationListener newListener) {
        listener = newListener;
    }

    /** Puts a configuration in force; version 0 reads the newest one. */
    void submit(PutConfiguration put, ConfigurationCallback callback) {
        calls.submit(new PendingCall(put, callback));
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
        PendingCall call = calls.find(answer.id());
        if (call == null) {
            return;
        }
        listener.onCallAnswered(answer);
        if (!answer.sure()) {
            calls.onUnsure(answer.id());
            return;
        }
        calls.remove(answer.id());
        call.callback.onConfirmed(new ConfigurationDocument(answer.version(), answer.document()));
    }
}
