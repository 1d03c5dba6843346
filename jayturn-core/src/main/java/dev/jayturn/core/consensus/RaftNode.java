package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.Journal;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A member of the replicated log, after Raft (Ongaro 2014) with pre-vote and check-quorum. What it
 * acknowledges is durable in its journal first. A member is known by the identity of its store.
 */
public final class RaftNode {
    private static final long TICK_INTERVAL_MILLIS = 25;

    private final RaftConfig config;
    private List<String> seeds;
    private final RaftLog log;
    private final Transport transport;
    private final TimerService timers;
    private final RandomSource random;
    private final StateMachine stateMachine;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();
    private final Set<String> votes = new HashSet<>();
    private Role role = Role.FOLLOWER;
    private MemberSet members;
    private String leader = "";
    private long lastLeaderContactMillis;
    private long electionDeadlineMillis;
    private long commitIndex;
    private long appliedIndex;
    private long nextJoinRequestMillis;
    private @Nullable Leadership leadership;

    enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    /** Recovers a member from its journal's records. */
    public RaftNode(
            RaftConfig config,
            List<? extends JournalRecord> records,
            Journal journal,
            Transport transport,
            TimerService timers,
            RandomSource random,
            StateMachine machine) {
        this.config = config;
        this.seeds = config.seeds();
        this.log = new RaftLog(journal);
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.stateMachine = machine;
        for (JournalRecord entry : records) {
            log.recover(entry);
        }
        if (log.isEmpty() && !config.founders().isEmpty()) {
            List<Member> founders = new ArrayList<>();
            for (String id : config.founders()) {
                founders.add(new Member(id, true));
            }
            log.append(new LogEntry(1, 0, new MemberChange(founders)), () -> {});
        }
        members = log.membersAt(log.lastIndex());
        machine.restore(log.snapshotItems());
        commitIndex = log.snapshotStart().index();
        appliedIndex = commitIndex;
        applyUpTo(log.recordedCommitIndex());
        machine.onCommitDurable(appliedIndex);
        lastLeaderContactMillis = timers.nowMillis() - config.electionTimeoutMillis();
        // Asking early disturbs nobody who has a leader: a pre-vote comes first.
        electionDeadlineMillis =
                timers.nowMillis() + 1 + random.nextInt((int) config.electionTimeoutMillis());
        if (members.voterCount() == 1) {
            // Nobody else can lead, so there is nothing to wait for.
            electionDeadlineMillis = timers.nowMillis();
        }
        timers.every(TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Returns whether this member leads a term, to its own knowledge. */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /** Returns the id of the leader last heard of; empty if none. */
    public String leader() {
        return isLeader() ? config.id() : leader;
    }

    /** Returns the present term. */
    public long term() {
        return log.termVote().term();
    }

    /** Returns the index up to which commands were applied here. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** Returns the members by the newest entry of the log. */
    public List<Member> members() {
        return members.list();
    }

    /** Returns the members that the leader hears; empty if this is not the leader. */
    public List<String> connectedMembers() {
        return leadership == null ? List.of() : leadership.connectedMembers();
    }

    /** Proposes a command; the proposal is told at once if this is not the leader. */
    public void propose(Command command, ProposalCallback proposal) {
        Leadership leading = leadership;
        if (leading == null) {
            proposal.onLeadershipLost();
            return;
        }
        leading.propose(command, proposal);
    }

    /** Calls back with true once a quorum has confirmed that this member still leads. */
    public void confirmLeadership(LeadershipCallback confirmation) {
        Leadership leading = leadership;
        if (leading == null) {
            confirmation.onResult(false);
            return;
        }
        leading.confirmLeadership(confirmation);
    }

    /** Takes a member out, for operators; false if it is not the time for a change. */
    public boolean removeMember(String id) {
        return leadership != null && leadership.changeMembers(members.without(id));
    }

    /** Handles a message; one for another store's identity is dropped. */
    public void handle(Message message) {
        if (message instanceof VoteRequest request && request.to().equals(config.id())) {
            onVoteRequest(request);
        } else if (message instanceof VoteReply reply && reply.to().equals(config.id())) {
            onVoteReply(reply);
        } else if (message instanceof AppendRequest request && request.to().equals(config.id())) {
            onAppendRequest(request);
        } else if (message instanceof InstallChunk chunk && chunk.to().equals(config.id())) {
            onInstallChunk(chunk);
        } else if (message instanceof AppendReply reply && reply.to().equals(config.id())) {
            onAppendReply(reply);
        } else if (message instanceof InstallReply reply && reply.to().equals(config.id())) {
            onInstallReply(reply);
        } else if (message instanceof JoinRequest join) {
            onJoinRequest(join);
        }
    }

    private void onJoinRequest(JoinRequest join) {
        if (leadership != null) {
            leadership.addLearner(join.from());
        } else if (!leader.isEmpty() && !hasLeaderTimedOut()) {
            transport.send(leader, join);
        }
    }

    /** Sets the members that are asked to let this one join. */
    public void setSeeds(List<String> addresses) {
        seeds = List.copyOf(addresses);
    }

    private void tick() {
        long now = timers.nowMillis();
        if (leadership != null) {
            if (!leadership.tick(now)) {
                stepDown(term());
            }
            return;
        }
        if (members.find(config.id()) == null && now >= nextJoinRequestMillis) {
            nextJoinRequestMillis = now + config.electionTimeoutMillis();
            for (String seed : seeds) {
                transport.send(seed, new JoinRequest(config.id()));
            }
        }
        if (members.isVoter(config.id()) && now >= electionDeadlineMillis) {
            campaign(true);
        }
    }

    private void campaign(boolean pre) {
        role = pre ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        leader = "";
        votes.clear();
        resetElectionDeadline();
        if (pre) {
            requestVotes(term() + 1, true);
            return;
        }
        long term = term() + 1;
        log.setTermVote(new TermVote(term, config.id()), () -> onOwnVoteDurable(term));
    }

    private void onOwnVoteDurable(long term) {
        if (term == term() && role == Role.CANDIDATE) {
            requestVotes(term, false);
        }
    }

    private void requestVotes(long term, boolean pre) {
        for (Member member : members.list()) {
            if (member.voter() && !member.id().equals(config.id())) {
                VoteRequest request =
                        new VoteRequest(
                                config.id(),
                                member.id(),
                                term,
                                log.lastIndex(),
                                log.lastTerm(),
                                pre);
                transport.send(member.id(), request);
            }
        }
        addVote(config.id(), pre);
    }

    private void onVoteRequest(VoteRequest request) {
        if (leadership != null) {
            // One that was taken out while it was away does not know it; it joins again.
            leadership.addLearner(request.from());
        }
        boolean hasLeader = isLeader() || !hasLeaderTimedOut();
        if (hasLeader || request.term() < term()) {
            replyVote(request, false);
            return;
        }
        if (request.pre()) {
            replyVote(request, isUpToDate(request));
            return;
        }
        if (request.term() > term()) {
            stepDown(request.term());
        }
        String votedFor = log.termVote().votedFor();
        boolean free = votedFor.isEmpty() || votedFor.equals(request.from());
        if (!free || !isUpToDate(request) || !members.isVoter(config.id())) {
            replyVote(request, false);
            return;
        }
        resetElectionDeadline();
        log.setTermVote(
                new TermVote(request.term(), request.from()), () -> replyVote(request, true));
    }

    private boolean hasLeaderTimedOut() {
        return timers.nowMillis() - lastLeaderContactMillis >= config.electionTimeoutMillis();
    }

    private boolean isUpToDate(VoteRequest request) {
        if (request.lastTerm() != log.lastTerm()) {
            return request.lastTerm() > log.lastTerm();
        }
        return request.lastIndex() >= log.lastIndex();
    }

    private void replyVote(VoteRequest request, boolean granted) {
        long term = request.pre() && granted ? request.term() : term();
        transport.send(
                request.from(),
                new VoteReply(config.id(), request.from(), term, granted, request.pre()));
    }

    private void onVoteReply(VoteReply reply) {
        if (!reply.granted()) {
            if (reply.term() > term()) {
                stepDown(reply.term());
            }
            return;
        }
        long expected = reply.pre() ? term() + 1 : term();
        Role wanted = reply.pre() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        if (role == wanted && reply.term() == expected) {
            addVote(reply.from(), reply.pre());
        }
    }

    private void addVote(String from, boolean pre) {
        votes.add(from);
        if (!members.isQuorum(votes)) {
            return;
        }
        if (pre) {
            campaign(false);
        } else {
            becomeLeader();
        }
    }

    private void becomeLeader() {
        role = Role.LEADER;
        leadership = new Leadership(this, config, log, transport, timers);
        leadership.start();
    }

    private void stepDown(long term) {
        Leadership ended = leadership;
        leadership = null;
        role = Role.FOLLOWER;
        votes.clear();
        resetElectionDeadline();
        if (term > term()) {
            log.setTermVote(new TermVote(term, ""), () -> {});
        }
        if (ended != null) {
            ended.end();
        }
    }

    private void onAppendRequest(AppendRequest request) {
        if (request.term() < term()) {
            replyAppend(request, false, log.lastIndex());
            return;
        }
        followLeader(request.term(), request.from());
        if (request.prevIndex() < log.snapshotStart().index()) {
            // Everything up to the snapshot is committed and so agrees with the leader's log.
            replyAppend(request, false, log.snapshotStart().index());
            return;
        }
        if (log.termAt(request.prevIndex()) != request.prevTerm()) {
            replyAppend(request, false, Math.min(log.lastIndex(), request.prevIndex() - 1));
            return;
        }
        for (LogEntry entry : request.entries()) {
            if (log.termAt(entry.index()) != entry.term()) {
                log.append(entry, () -> {});
            }
        }
        members = log.membersAt(log.lastIndex());
        long match = request.prevIndex() + request.entries().size();
        advanceCommit(Math.min(request.commit(), match));
        log.whenDurable(() -> onAppendDurable(request, match));
    }

    private void onAppendDurable(AppendRequest request, long match) {
        if (request.term() == term()) {
            replyAppend(request, true, match);
        }
    }

    private void replyAppend(AppendRequest request, boolean success, long index) {
        AppendReply reply =
                new AppendReply(
                        config.id(), request.from(), term(), success, index, request.round());
        transport.send(request.from(), reply);
    }

    private void followLeader(long term, String from) {
        if (term > term() || role != Role.FOLLOWER) {
            stepDown(term);
        }
        leader = from;
        lastLeaderContactMillis = timers.nowMillis();
        resetElectionDeadline();
    }

    private void onInstallChunk(InstallChunk chunk) {
        if (chunk.term() < term()) {
            return;
        }
        followLeader(chunk.term(), chunk.from());
        int next = snapshotReceiver.accept(chunk);
        if (snapshotReceiver.isComplete() && chunk.start().index() > appliedIndex) {
            log.install(chunk.start(), snapshotReceiver.items());
            stateMachine.restore(snapshotReceiver.items());
            members = log.membersAt(log.lastIndex());
            commitIndex = Math.max(commitIndex, chunk.start().index());
            appliedIndex = chunk.start().index();
            log.recordCommit(
                    appliedIndex, () -> stateMachine.onCommitDurable(chunk.start().index()));
        }
        InstallReply reply =
                new InstallReply(config.id(), chunk.from(), term(), chunk.start().index(), next);
        log.whenDurable(() -> transport.send(chunk.from(), reply));
    }

    private void onAppendReply(AppendReply reply) {
        if (reply.term() > term()) {
            stepDown(reply.term());
        } else if (leadership != null && reply.term() == term()) {
            leadership.onAppendReply(reply);
        }
    }

    private void onInstallReply(InstallReply reply) {
        if (reply.term() > term()) {
            stepDown(reply.term());
        } else if (leadership != null && reply.term() == term()) {
            leadership.onInstallReply(reply);
        }
    }

    void reloadMembers() {
        members = log.membersAt(log.lastIndex());
    }

    MemberSet memberSet() {
        return members;
    }

    long commitIndex() {
        return commitIndex;
    }

    void advanceCommit(long index) {
        if (index <= commitIndex) {
            return;
        }
        applyUpTo(index);
        log.recordCommit(index, () -> stateMachine.onCommitDurable(index));
        if (appliedIndex - log.snapshotStart().index() >= config.snapshotIntervalEntries()) {
            SnapshotStart start =
                    new SnapshotStart(
                            appliedIndex,
                            log.termAt(appliedIndex),
                            log.membersAt(appliedIndex).list());
            log.compact(start, stateMachine.snapshot());
        }
    }

    private void applyUpTo(long index) {
        commitIndex = Math.max(commitIndex, index);
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            LogEntry entry = log.entry(appliedIndex);
            Object outcome = stateMachine.apply(entry.index(), entry.command());
            if (leadership != null) {
                leadership.onApplied(entry.index(), outcome);
            }
        }
    }

    private void resetElectionDeadline() {
        long spread = random.nextInt((int) config.electionTimeoutMillis());
        electionDeadlineMillis = timers.nowMillis() + config.electionTimeoutMillis() + spread;
    }
}
