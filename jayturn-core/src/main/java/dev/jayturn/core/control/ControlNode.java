package dev.jayturn.core.control;

import dev.jayturn.core.budget.BillsCompared;
import dev.jayturn.core.budget.CompareBills;
import dev.jayturn.core.budget.GrantPull;
import dev.jayturn.core.budget.Ledger;
import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.consensus.ProposalCallback;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.List;

/**
 * The node of a control instance: its Raft member, which replicates the control log, and its
 * ledger.
 */
public final class ControlNode {
    private static final long PEER_REFRESH_INTERVAL_MILLIS = 500;

    private final String id;
    private final RaftNode raft;
    private final ControlState state;
    private final Ledger ledger;
    private final Transport transport;

    /**
     * Creates a node from its parts; all of them run on the same thread.
     *
     * @param id the id of the Raft member and of the ledger
     */
    public ControlNode(
            String id,
            RaftNode raft,
            ControlState state,
            Ledger ledger,
            Transport transport,
            TimerService timers) {
        this.id = id;
        this.raft = raft;
        this.state = state;
        this.ledger = ledger;
        this.transport = transport;
        refreshPeers();
        timers.every(PEER_REFRESH_INTERVAL_MILLIS, this::refreshPeers);
    }

    /** Returns the Raft member, which replicates the control log. */
    public RaftNode raft() {
        return raft;
    }

    /** Returns the state that the control log builds. */
    public ControlState state() {
        return state;
    }

    /** Returns the ledger. */
    public Ledger ledger() {
        return ledger;
    }

    private void refreshPeers() {
        List<String> peers = new ArrayList<>();
        for (Member member : raft.members()) {
            if (!member.id().equals(id)) {
                peers.add(member.id());
            }
        }
        ledger.setPeers(peers);
    }

    /** Handles a message to the node or to one of its parts. */
    public void handle(Message message) {
        if (message instanceof ControlRequest request) {
            commit(request);
        } else if (message instanceof CompareBills compare) {
            compareBills(compare);
        } else if (message instanceof ControlRead read) {
            read(read);
        } else if (message instanceof GrantPull pull) {
            transport.send(pull.ledger(), state.grantsAfter(pull));
        } else {
            raft.handle(message);
            ledger.handle(message);
        }
    }

    private void commit(ControlRequest request) {
        if (!raft.isLeader()) {
            forward(request);
            return;
        }
        raft.propose(
                withEqualShares(request.command()),
                new ProposalCallback() {
                    @Override
                    public void onApplied(Object outcome) {
                        answer(request, (ControlOutcome) outcome);
                    }

                    @Override
                    public void onLeadershipLost() {
                        refuseUnreachable(request);
                    }
                });
    }

    private void compareBills(CompareBills compare) {
        if (!raft.isLeader()) {
            if (!compare.forwarded() && !raft.leader().isEmpty()) {
                transport.send(
                        raft.leader(), new CompareBills(compare.ledger(), compare.bills(), true));
            }
            return;
        }
        List<String> compared = new ArrayList<>();
        compare.bills().forEach(bill -> compared.add(bill.intentId()));
        raft.propose(
                new MeetBills(compare.ledger(), compare.bills()),
                new ProposalCallback() {
                    @Override
                    public void onApplied(Object outcome) {
                        List<String> repeated = ((BillComparison) outcome).repeated();
                        transport.send(compare.ledger(), new BillsCompared(compared, repeated));
                    }

                    @Override
                    public void onLeadershipLost() {
                        // The ledger sends its bills again until it gets an answer.
                    }
                });
    }

    private void forward(ControlRequest request) {
        String leader = raft.leader();
        if (leader.isEmpty() || request.forwarded()) {
            refuseUnreachable(request);
            return;
        }
        transport.send(
                leader,
                new ControlRequest(request.requestId(), request.from(), request.command(), true));
    }

    /** Answers a read once a quorum has confirmed that this instance still leads. */
    private void read(ControlRead read) {
        if (!raft.isLeader() && !read.forwarded() && !raft.leader().isEmpty()) {
            transport.send(raft.leader(), read.asForwarded());
            return;
        }
        raft.confirmLeadership(
                confirmed ->
                        transport.send(read.from(), ControlReading.of(state, read, confirmed)));
    }

    private Command withEqualShares(Command command) {
        if (command instanceof Credit credit && credit.shares().isEmpty()) {
            return new Credit(
                    credit.creditId(),
                    credit.budget(),
                    credit.tokens(),
                    CreditSplit.equalShares(credit.tokens(), raft.connectedMembers()),
                    credit.operator(),
                    credit.atMillis());
        }
        return command;
    }

    private void refuseUnreachable(ControlRequest request) {
        answer(request, ControlOutcome.of(ResultCode.CONTROL_UNREACHABLE, state.version()));
    }

    private void answer(ControlRequest request, ControlOutcome outcome) {
        transport.send(request.from(), new ControlAnswer(request.requestId(), outcome));
    }
}
