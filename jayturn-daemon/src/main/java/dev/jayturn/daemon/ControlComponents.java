package dev.jayturn.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.budget.Ledger;
import dev.jayturn.core.budget.LedgerConfig;
import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.consensus.QuorumStatus;
import dev.jayturn.core.consensus.RaftConfig;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.control.ControlNode;
import dev.jayturn.core.control.ControlState;
import dev.jayturn.core.control.PublishedRules;
import dev.jayturn.core.membership.MembershipHub;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import dev.jayturn.daemon.journal.FileJournal;
import dev.jayturn.daemon.journal.JournalCorruptException;
import dev.jayturn.daemon.journal.JournalListener;
import dev.jayturn.daemon.journal.StoreIdentity;
import dev.jayturn.daemon.journal.StuckLeaderCheck;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/** The components of a control instance: control log, ledger and membership hub. */
final class ControlComponents implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String CONTROL_JOURNAL_FILE = "control.journal";
    private static final String LEDGER_JOURNAL_FILE = "ledger.journal";

    private final FileJournal controlJournal;
    private final FileJournal ledgerJournal;
    private final ControlNode controlNode;
    private final MembershipHub membershipHub;

    ControlComponents(
            Settings settings,
            boolean initCluster,
            Transport transport,
            TimerService timers,
            RandomSource random,
            Executor loop)
            throws IOException, JournalCorruptException {
        Path folder = Path.of(settings.text(SettingKey.DATA_FOLDER));
        String name = settings.text(SettingKey.INSTANCE_NAME);
        List<String> journals = List.of(CONTROL_JOURNAL_FILE, LEDGER_JOURNAL_FILE);
        String id = name + "#" + StoreIdentity.readOrCreate(folder, journals);
        controlJournal =
                new FileJournal(
                        folder.resolve(CONTROL_JOURNAL_FILE), loop, new JournalListener() {});
        ledgerJournal =
                new FileJournal(
                        folder.resolve(LEDGER_JOURNAL_FILE), loop, new JournalListener() {});
        ControlState state = new ControlState();
        List<String> seeds = new ArrayList<>(settings.controlAddresses().keySet());
        seeds.remove(name);
        RaftConfig raftConfig =
                new RaftConfig(
                        id,
                        seeds,
                        initCluster || seeds.isEmpty() ? List.of(id) : List.of(),
                        settings.number(SettingKey.ELECTION),
                        settings.number(SettingKey.HEARTBEAT),
                        (int) settings.number(SettingKey.SNAPSHOT));
        PublishedRules rules = new PublishedRules(state);
        RaftNode raft =
                new RaftNode(
                        raftConfig,
                        controlJournal.takeRecovered(),
                        controlJournal,
                        transport,
                        timers,
                        random,
                        rules);
        StuckLeaderCheck.start(
                timers,
                raft,
                controlJournal,
                pendingMillis ->
                        LOGGER.atWarning().log(
                                "journal: Gave up leadership; an operation waits for %d ms.",
                                pendingMillis));
        Ledger ledger =
                new Ledger(
                        new LedgerConfig(
                                id,
                                id,
                                settings.number(SettingKey.INCARNATION_LEASE),
                                settings.number(SettingKey.ASK_WAIT)),
                        ledgerJournal.takeRecovered(),
                        ledgerJournal,
                        transport,
                        timers);
        controlNode = new ControlNode(id, raft, state, ledger, transport, timers);
        membershipHub =
                new MembershipHub(
                        name,
                        settings.number(SettingKey.UPSTREAM_LEASE),
                        transport,
                        timers,
                        random,
                        rules);
        rules.onChange(membershipHub::rulesChanged);
    }

    ControlNode controlNode() {
        return controlNode;
    }

    boolean isHealthy() {
        return !controlJournal.isFailed() && !ledgerJournal.isFailed();
    }

    long journalSyncCount() {
        return controlJournal.syncCount() + ledgerJournal.syncCount();
    }

    long journalPendingMillis() {
        return Math.max(controlJournal.pendingMillis(), ledgerJournal.pendingMillis());
    }

    int openIntentCount() {
        return controlNode.ledger().state().openIntents().size();
    }

    void handle(Message message) {
        controlNode.handle(message);
        membershipHub.handle(message);
    }

    void addStatus(ObjectNode status) {
        RaftNode raft = controlNode.raft();
        status.put("leader", raft.leader());
        status.put("term", raft.term());
        status.put("appliedIndex", raft.appliedIndex());
        status.put("openIntents", openIntentCount());
        ArrayNode members = status.putArray("members");
        for (Member member : raft.members()) {
            members.add(member.id() + (member.voter() ? "" : " (learner)"));
        }
        QuorumStatus quorum = raft.quorumStatus();
        if (quorum != null) {
            status.put("voters", quorum.voters());
            status.put("learners", quorum.learners());
            status.put("reachableVoters", quorum.reachableVoters());
            status.put("toleratedLosses", quorum.toleratedLosses());
        }
    }

    @Override
    public void close() {
        controlJournal.close();
        ledgerJournal.close();
    }
}
