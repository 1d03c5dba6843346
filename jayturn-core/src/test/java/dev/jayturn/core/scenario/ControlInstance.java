package dev.jayturn.core.scenario;

import dev.jayturn.core.budget.Ledger;
import dev.jayturn.core.budget.LedgerConfig;
import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.consensus.RaftConfig;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.consensus.StateMachine;
import dev.jayturn.core.control.ControlNode;
import dev.jayturn.core.control.ControlState;
import dev.jayturn.core.control.PublishedRules;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.membership.MembershipHub;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualDisk;
import dev.jayturn.core.virtual.VirtualProcess;
import java.util.List;
import java.util.Random;

/** A control instance whose process can crash and whose disks can be replaced or fail. */
final class ControlInstance {
    private static final long LEASE_MILLIS = 3_000;
    private static final long ASK_TIMEOUT_MILLIS = 300;
    private static final int SNAPSHOT_ENTRIES = 40;

    final String name;
    final String dataCentre;
    private final SimulatedFleet fleet;
    private final Random random;
    private VirtualDisk raftDisk;
    private VirtualDisk ledgerDisk;
    private int storeNumber;
    private VirtualProcess process;
    private ControlNode node;
    private MembershipHub hub;
    private ControlState state;

    ControlInstance(SimulatedFleet fleet, String name, String dataCentre, Random random) {
        this.fleet = fleet;
        this.name = name;
        this.dataCentre = dataCentre;
        this.random = random;
        replaceDisks();
    }

    void replaceDisks() {
        storeNumber++;
        raftDisk = new VirtualDisk(fleet.time());
        ledgerDisk = new VirtualDisk(fleet.time());
    }

    void failSyncs() {
        raftDisk.failSyncs();
        ledgerDisk.failSyncs();
    }

    String id() {
        return name + "#" + storeNumber;
    }

    void start(boolean bootstrap) {
        fleet.network().setDataCentre(name, dataCentre);
        process = new VirtualProcess(name, fleet.time(), fleet.network());
        SeededRandom seededRandom = new SeededRandom(random);
        state = new ControlState();
        PublishedRules rules = new PublishedRules(state);
        RaftConfig config =
                new RaftConfig(
                        id(),
                        fleet.controlNames(),
                        bootstrap ? List.of(id()) : List.of(),
                        500,
                        100,
                        SNAPSHOT_ENTRIES);
        RaftNode raft =
                new RaftNode(
                        config,
                        raftDisk.records(),
                        raftDisk.openJournal(process),
                        process,
                        process,
                        seededRandom,
                        new RecordingStateMachine(rules));
        Ledger ledger =
                new Ledger(
                        new LedgerConfig(id(), id(), LEASE_MILLIS, ASK_TIMEOUT_MILLIS),
                        ledgerDisk.records(),
                        ledgerDisk.openJournal(process),
                        process,
                        process);
        node = new ControlNode(id(), raft, state, ledger, process, process);
        hub = new MembershipHub(name, LEASE_MILLIS, process, process, seededRandom, rules);
        rules.onChange(hub::rulesChanged);
        process.onMessage((to, message) -> receive(to, message));
    }

    /** Handles a message unless it is addressed to the identity of an earlier store. */
    private void receive(String to, Message message) {
        if (!to.contains("#") || to.equals(id())) {
            node.handle(message);
            hub.handle(message);
        }
    }

    /**
     * Reports every applied entry to the fleet, which fails if two members applied different ones.
     */
    private final class RecordingStateMachine implements StateMachine {
        private final StateMachine delegate;

        RecordingStateMachine(StateMachine delegate) {
            this.delegate = delegate;
        }

        @Override
        public Object apply(long index, Command command) {
            fleet.recordApplied(name, index, command);
            return delegate.apply(index, command);
        }

        @Override
        public void onCommitDurable(long index) {
            delegate.onCommitDurable(index);
        }

        @Override
        public List<JournalRecord> snapshot() {
            return delegate.snapshot();
        }

        @Override
        public void restore(List<JournalRecord> items) {
            delegate.restore(items);
        }
    }

    void crash() {
        process.crash();
    }

    void pause(long millis) {
        process.pause(millis);
    }

    boolean isRunning() {
        return process != null && process.isRunning();
    }

    ControlNode node() {
        return node;
    }

    ControlState state() {
        return state;
    }

    List<JournalRecord> ledgerRecords() {
        return ledgerDisk.records();
    }
}
