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
 * A member of a Raft cluster (Ongaro 2014) with pre-vote and check-quorum. It writes terms, votes
 * and entries to its journal before it acknowledges them. Members are identified by the identity of
 * their store, so an instance that lost its store rejoins as a new member.
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

    /**
     * Creates a member and recovers its state.
     *
     * @param records the records of the journal, oldest first
     */
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
        for (JournalRecord journalRecord : records) {
            log.recover(journalRecord);
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
        // An early first election is safe: members that have a leader refuse the pre-vote.
        electionDeadlineMillis =
                timers.nowMillis() + 1 + random.nextInt((int) config.electionTimeoutMillis());
        if (members.voterCount() == 1) {
            // The only voter starts its election at once: it has no one to compete with.
            electionDeadlineMillis = timers.nowMillis();
        }
        timers.every(TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Returns whether this member considers itself the leader; it may have been superseded. */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /** Returns the id of the last known leader; empty if unknown. */
    public String leader() {
        return isLeader() ? config.id() : leader;
    }

    /** Returns the current term. */
    public long term() {
        return log.termVote().term();
    }

    /** Returns the index of the last entry that was applied to the state machine. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** Returns the members according to the newest log entry, committed or not. */
    public List<Member> members() {
        return members.list();
    }

    /** Returns the members that are connected to this leader; empty on a follower. */
    public List<String> connectedMembers() {
        return leadership == null ? List.of() : leadership.connectedMembers();
    }

    /** Returns how many losses the cluster can bear now; null if this member is not the leader. */
    public @Nullable QuorumStatus quorumStatus() {
        return leadership == null ? null : leadership.quorumStatus();
    }

    /** Returns the state of this member's log and of its election. */
    public MemberStatus status() {
        long silentMillis = timers.nowMillis() - lastLeaderContactMillis;
        return log.status(commitIndex, silentMillis, votes.size());
    }

    /** Appends a command to the log if this member is the leader; otherwise fails it at once. */
    public void propose(Command command, ProposalCallback callback) {
        Leadership leading = leadership;
        if (leading == null) {
            callback.onLeadershipLost();
            return;
        }
        leading.propose(command, callback);
    }

    /**
     * Confirms with a quorum that this member still leads, for linearizable reads. Calls back with
     * true once the quorum has confirmed it and every entry that was committed at the time of the
     * request is applied; with false if this member is not the leader or steps down.
     */
    public void confirmLeadership(LeadershipCallback callback) {
        Leadership leading = leadership;
        if (leading == null) {
            callback.onResult(false);
            return;
        }
        leading.confirmLeadership(callback);
    }

    /**
     * Removes a member on an operator's request. Returns false if this member is not the leader, an
     * earlier membership change or the first entry of the term is not committed yet, or the id is
     * the leader's own or unknown. A removed member that still runs is added again as a learner
     * when a join or vote request from it reaches the leader, and becomes a voter once it has
     * caught up.
     */
    public boolean removeMember(String id) {
        return leadership != null && leadership.changeMembers(members.without(id));
    }

    /** Gives up leadership, if this member leads, so that another member is elected. */
    public void resign() {
        if (leadership != null) {
            stepDown(term());
        }
    }

    /** Writes the whole state to the journal again, whose records have been lost. */
    public void rewriteJournal() {
        log.rewriteJournal();
    }

    /** Handles a message; ignores messages to another member id and messages of other types. */
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

    /** Sets the addresses of the instances to which this member sends its join requests. */
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
        // A member that was removed while it was unreachable does not know that.
        boolean mayBeRemoved = now - lastLeaderContactMillis >= 2 * config.electionTimeoutMillis();
        if ((members.find(config.id()) == null || mayBeRemoved) && now >= nextJoinRequestMillis) {
            nextJoinRequestMillis = now + config.electionTimeoutMillis();
            for (String seed : seeds) {
                transport.send(seed, new JoinRequest(config.id()));
            }
        }
        if (members.isVoter(config.id()) && now >= electionDeadlineMillis) {
            campaign(true);
        }
    }

    private void campaign(boolean preVote) {
        role = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        leader = "";
        votes.clear();
        resetElectionDeadline();
        if (preVote) {
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

    private void requestVotes(long term, boolean preVote) {
        for (Member member : members.list()) {
            if (member.voter() && !member.id().equals(config.id())) {
                VoteRequest request =
                        new VoteRequest(
                                config.id(),
                                member.id(),
                                term,
                                log.lastIndex(),
                                log.lastTerm(),
                                preVote);
                transport.send(member.id(), request);
            }
        }
        addVote(config.id(), preVote);
    }

    private void onVoteRequest(VoteRequest request) {
        if (leadership != null) {
            // A member that was removed while it was unreachable does not know that; re-add it.
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
        boolean canVote = votedFor.isEmpty() || votedFor.equals(request.from());
        if (!canVote || !isUpToDate(request) || !members.isVoter(config.id())) {
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
        long expectedTerm = reply.pre() ? term() + 1 : term();
        Role expectedRole = reply.pre() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        if (role == expectedRole && reply.term() == expectedTerm) {
            addVote(reply.from(), reply.pre());
        }
    }

    private void addVote(String from, boolean preVote) {
        votes.add(from);
        if (!members.isQuorum(votes)) {
            return;
        }
        if (preVote) {
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
        Leadership previous = leadership;
        leadership = null;
        role = Role.FOLLOWER;
        votes.clear();
        resetElectionDeadline();
        if (term > term()) {
            log.setTermVote(new TermVote(term, ""), () -> {});
        }
        if (previous != null) {
            previous.end();
        }
    }

    private void onAppendRequest(AppendRequest request) {
        if (request.term() < term()) {
            replyAppend(request, false, log.lastIndex());
            return;
        }
        followLeader(request.term(), request.from());
        if (request.prevIndex() < log.snapshotStart().index()) {
            // The entries up to the snapshot are committed and therefore match the leader's log.
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
        long matchIndex = request.prevIndex() + request.entries().size();
        advanceCommit(Math.min(request.commit(), matchIndex));
        // The request itself, with its entries, must not stay in memory until the disk has synced.
        AppendReply reply = AppendReply.to(request, term(), true, matchIndex);
        log.whenDurable(() -> sendIfCurrent(reply));
    }

    private void sendIfCurrent(AppendReply reply) {
        if (reply.term() == term()) {
            transport.send(reply.to(), reply);
        }
    }

    private void replyAppend(AppendRequest request, boolean success, long index) {
        transport.send(request.from(), AppendReply.to(request, term(), success, index));
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
        int nextOffset = snapshotReceiver.accept(chunk);
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
                new InstallReply(
                        config.id(), chunk.from(), term(), chunk.start().index(), nextOffset);
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
        long jitter = random.nextInt((int) config.electionTimeoutMillis());
        electionDeadlineMillis = timers.nowMillis() + config.electionTimeoutMillis() + jitter;
    }
}
