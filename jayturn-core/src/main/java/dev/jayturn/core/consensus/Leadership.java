package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The leader's state and duties during one term: replication, commits, confirmed reads and
 * membership changes.
 */
final class Leadership {
    private static final int MAX_BATCH_ENTRIES = 512;

    /**
     * A connection waits for a sign of life behind the messages before it, and a batch that is not
     * acknowledged in time is sent again.
     */
    private static final int MAX_BATCH_BYTES = 256 << 10;

    private static final int MAX_CHUNK_ITEMS = 1_000;
    private static final int MAX_LEARNER_LAG_ENTRIES = 64;

    /**
     * Silence, in election timeouts, after which a voter can be replaced. A leader without a
     * majority steps down before that.
     */
    private static final int VOTER_TIMEOUT_ELECTIONS = 3;

    /** Silence, in election timeouts, after which a learner is removed. It can join again. */
    private static final int LEARNER_TIMEOUT_ELECTIONS = 20;

    private final RaftNode node;
    private final RaftConfig config;
    private final RaftLog log;
    private final Transport transport;
    private final TimerService timers;
    private final long term;
    private final MembershipPolicy membershipPolicy;
    private final Map<String, Progress> progressById = new HashMap<>();
    private final TreeMap<Long, ProposalCallback> pendingProposals = new TreeMap<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private long durableIndex;
    private long termStartIndex;
    private long memberChangeIndex;
    private long round;
    private long nextHeartbeatMillis;
    private boolean flushPending;
    private boolean ended;

    private record PendingRead(long round, long index, LeadershipCallback callback) {}

    Leadership(
            RaftNode node,
            RaftConfig config,
            RaftLog log,
            Transport transport,
            TimerService timers) {
        this.node = node;
        this.config = config;
        this.log = log;
        this.transport = transport;
        this.timers = timers;
        this.term = node.term();
        this.membershipPolicy =
                new MembershipPolicy(
                        VOTER_TIMEOUT_ELECTIONS * config.electionTimeoutMillis(),
                        LEARNER_TIMEOUT_ELECTIONS * config.electionTimeoutMillis());
    }

    void start() {
        termStartIndex = log.lastIndex() + 1;
        memberChangeIndex = log.lastIndex();
        append(new NoOp());
        flush();
    }

    void end() {
        ended = true;
        for (ProposalCallback callback : pendingProposals.values()) {
            callback.onLeadershipLost();
        }
        pendingProposals.clear();
        for (PendingRead read : pendingReads) {
            read.callback().onResult(false);
        }
        pendingReads.clear();
    }

    void propose(Command command, ProposalCallback callback) {
        long index = append(command);
        pendingProposals.put(index, callback);
    }

    private long append(Command command) {
        long index = log.lastIndex() + 1;
        log.append(new LogEntry(index, term, command), () -> onDurable(index));
        scheduleFlush();
        return index;
    }

    private void onDurable(long index) {
        if (!ended) {
            durableIndex = Math.max(durableIndex, index);
            advanceCommitIndex();
        }
    }

    void onApplied(long index, Object outcome) {
        ProposalCallback callback = pendingProposals.remove(index);
        if (callback != null) {
            callback.onApplied(outcome);
        }
    }

    /**
     * Sends the heartbeats that are due. Returns false if no quorum has replied within the longest
     * election timeout, after which the leader must step down.
     */
    boolean tick(long nowMillis) {
        if (!hasQuorum(nowMillis - 2 * config.electionTimeoutMillis())) {
            return false;
        }
        if (nowMillis >= nextHeartbeatMillis) {
            nextHeartbeatMillis = nowMillis + config.heartbeatIntervalMillis();
            round++;
            for (Member member : node.memberSet().list()) {
                sendHeartbeat(member.id(), nowMillis);
            }
            applyMembershipPolicy();
        }
        return true;
    }

    QuorumStatus quorumStatus() {
        MemberSet members = node.memberSet();
        long sinceMillis = timers.nowMillis() - config.electionTimeoutMillis();
        int reachable = 0;
        int commandLevel = CommandLevel.CURRENT;
        for (Member member : members.list()) {
            if (member.voter() && hasRepliedSince(member.id(), sinceMillis)) {
                reachable++;
                commandLevel = Math.min(commandLevel, commandLevelOf(member.id()));
            }
        }
        return new QuorumStatus(
                members.voterCount(),
                members.list().size() - members.voterCount(),
                reachable,
                commandLevel);
    }

    private int commandLevelOf(String id) {
        return id.equals(config.id()) ? CommandLevel.CURRENT : progress(id).commandLevel;
    }

    private boolean hasRepliedSince(String id, long sinceMillis) {
        Progress peer = progressById.get(id);
        return id.equals(config.id())
                || (peer != null && peer.matchIndex > 0 && peer.lastReplyMillis >= sinceMillis);
    }

    private boolean hasQuorum(long sinceMillis) {
        Set<String> connected = new HashSet<>();
        connected.add(config.id());
        for (Member member : node.memberSet().list()) {
            Progress peer = progressById.get(member.id());
            if (peer == null || peer.lastReplyMillis >= sinceMillis) {
                connected.add(member.id());
            }
        }
        return node.memberSet().isQuorum(connected);
    }

    /** Returns this member and those that replied within an election timeout. */
    List<String> connectedMembers() {
        long sinceMillis = timers.nowMillis() - config.electionTimeoutMillis();
        List<String> ids = new ArrayList<>();
        for (Member member : node.memberSet().list()) {
            if (hasRepliedSince(member.id(), sinceMillis)) {
                ids.add(member.id());
            }
        }
        return ids;
    }

    void confirmLeadership(LeadershipCallback callback) {
        round++;
        pendingReads.add(
                new PendingRead(round, Math.max(node.commitIndex(), termStartIndex), callback));
        for (Member member : node.memberSet().list()) {
            sendHeartbeat(member.id(), timers.nowMillis());
        }
        answerConfirmedReads();
    }

    private void answerConfirmedReads() {
        List<PendingRead> confirmed = new ArrayList<>();
        for (PendingRead read : pendingReads) {
            if (isConfirmed(read)) {
                confirmed.add(read);
            }
        }
        pendingReads.removeAll(confirmed);
        for (PendingRead read : confirmed) {
            read.callback().onResult(true);
        }
    }

    private boolean isConfirmed(PendingRead read) {
        if (node.appliedIndex() < read.index()) {
            return false;
        }
        Set<String> acked = new HashSet<>();
        acked.add(config.id());
        progressById.forEach(
                (id, peer) -> {
                    if (peer.ackedRound >= read.round()) {
                        acked.add(id);
                    }
                });
        return node.memberSet().isQuorum(acked);
    }

    private Progress progress(String id) {
        return progressById.computeIfAbsent(
                id, i -> new Progress(log.lastIndex() + 1, timers.nowMillis()));
    }

    private void sendHeartbeat(String id, long nowMillis) {
        if (id.equals(config.id())) {
            return;
        }
        Progress peer = progress(id);
        boolean stalled = nowMillis - peer.lastSendMillis >= 2 * config.heartbeatIntervalMillis();
        if (peer.isInstallingSnapshot()) {
            if (stalled) {
                sendChunk(id, peer);
            }
            return;
        }
        if (stalled && peer.nextIndex > peer.matchIndex + 1) {
            // The entries may have been lost; resend from the first one that is not acknowledged.
            peer.nextIndex = Math.min(peer.nextIndex, Math.max(peer.matchIndex + 1, 1));
        }
        sendEntries(id, peer);
    }

    private void scheduleFlush() {
        if (!flushPending) {
            flushPending = true;
            timers.schedule(0, this::flush);
        }
    }

    private void flush() {
        flushPending = false;
        if (ended) {
            return;
        }
        for (Member member : node.memberSet().list()) {
            if (member.id().equals(config.id())) {
                continue;
            }
            Progress peer = progress(member.id());
            if (!peer.isInstallingSnapshot() && peer.nextIndex <= log.lastIndex()) {
                sendEntries(member.id(), peer);
            }
        }
    }

    private void sendEntries(String id, Progress peer) {
        if (peer.nextIndex <= log.snapshotStart().index()) {
            peer.snapshotOffset = 0;
            peer.snapshotIndex = log.snapshotStart().index();
            sendChunk(id, peer);
            return;
        }
        long prevIndex = peer.nextIndex - 1;
        List<LogEntry> entries =
                log.entriesFrom(peer.nextIndex, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES);
        AppendRequest request =
                new AppendRequest(
                        config.id(),
                        id,
                        term,
                        prevIndex,
                        log.termAt(prevIndex),
                        entries,
                        node.commitIndex(),
                        round);
        if (!entries.isEmpty()) {
            peer.nextIndex += entries.size();
            peer.lastSendMillis = timers.nowMillis();
        }
        transport.send(id, request);
    }

    private void sendChunk(String id, Progress peer) {
        if (peer.snapshotIndex != log.snapshotStart().index()) {
            peer.snapshotIndex = log.snapshotStart().index();
            peer.snapshotOffset = 0;
        }
        List<JournalRecord> items = log.snapshotItems();
        peer.snapshotSize = items.size();
        int end = Math.min(items.size(), peer.snapshotOffset + MAX_CHUNK_ITEMS);
        InstallChunk chunk =
                new InstallChunk(
                        config.id(),
                        id,
                        term,
                        log.snapshotStart(),
                        peer.snapshotOffset,
                        new ArrayList<>(items.subList(peer.snapshotOffset, end)),
                        end == items.size());
        peer.lastSendMillis = timers.nowMillis();
        transport.send(id, chunk);
    }

    void onInstallReply(InstallReply reply) {
        Progress peer = progress(reply.from());
        peer.lastReplyMillis = timers.nowMillis();
        if (!peer.isInstallingSnapshot() || reply.index() != peer.snapshotIndex) {
            return;
        }
        // A newer snapshot may have replaced this one, so its own size counts.
        if (reply.nextOffset() > peer.snapshotSize) {
            peer.snapshotOffset = -1;
            peer.matchIndex = Math.max(peer.matchIndex, reply.index());
            peer.matchRound = round;
            peer.nextIndex = reply.index() + 1;
            sendEntries(reply.from(), peer);
            return;
        }
        peer.snapshotOffset = reply.nextOffset();
        sendChunk(reply.from(), peer);
    }

    void onAppendReply(AppendReply reply) {
        Progress peer = progress(reply.from());
        peer.lastReplyMillis = timers.nowMillis();
        peer.ackedRound = Math.max(peer.ackedRound, reply.round());
        peer.commandLevel = reply.commandLevel();
        if (reply.success()) {
            peer.matchIndex = Math.max(peer.matchIndex, reply.index());
            peer.matchRound = Math.max(peer.matchRound, reply.round());
            peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
            advanceCommitIndex();
            if (peer.nextIndex <= log.lastIndex() && !peer.isInstallingSnapshot()) {
                sendEntries(reply.from(), peer);
            }
        } else if (!peer.isInstallingSnapshot()) {
            if (reply.index() < peer.matchIndex && reply.round() > peer.matchRound) {
                // The member has lost what it had acknowledged, and may have lost its vote. It
                // joins again as a learner, and votes when it has everything.
                changeMembers(node.memberSet().without(reply.from()));
                return;
            }
            long hint = Math.max(reply.index(), peer.matchIndex);
            peer.nextIndex = Math.min(peer.nextIndex, hint + 1);
            peer.nextIndex = Math.max(peer.nextIndex, 1);
            sendEntries(reply.from(), peer);
        }
        answerConfirmedReads();
    }

    private void advanceCommitIndex() {
        MemberSet members = node.memberSet();
        long[] matchIndexes = new long[members.voterCount()];
        int count = 0;
        for (Member member : members.list()) {
            if (member.voter()) {
                matchIndexes[count++] = matchIndexOf(member.id());
            }
        }
        Arrays.sort(matchIndexes);
        long majorityIndex = matchIndexes[matchIndexes.length - members.quorumSize()];
        // Only entries of the current term are committed by counting replicas (Raft section
        // 5.4.2).
        if (majorityIndex > node.commitIndex() && log.termAt(majorityIndex) == term) {
            node.advanceCommit(majorityIndex);
            answerConfirmedReads();
        }
    }

    private long matchIndexOf(String id) {
        if (id.equals(config.id())) {
            return durableIndex;
        }
        Progress peer = progressById.get(id);
        return peer == null ? 0 : peer.matchIndex;
    }

    void addLearner(String id) {
        if (node.memberSet().find(id) == null) {
            // The time of its last reply, if it was a member before, no longer counts.
            progressById.remove(id);
            changeMembers(node.memberSet().with(new Member(id, false)));
        }
    }

    boolean changeMembers(List<Member> changed) {
        boolean earlierChangesCommitted =
                node.commitIndex() >= memberChangeIndex && node.commitIndex() >= termStartIndex;
        boolean keepsLeader = new MemberSet(changed).isVoter(config.id());
        if (!earlierChangesCommitted || !keepsLeader || changed.equals(node.memberSet().list())) {
            return false;
        }
        memberChangeIndex = append(new MemberChange(changed));
        node.reloadMembers();
        return true;
    }

    private void applyMembershipPolicy() {
        long nowMillis = timers.nowMillis();
        List<MembershipPolicy.Observation> observations = new ArrayList<>();
        for (Member member : node.memberSet().list()) {
            boolean self = member.id().equals(config.id());
            observations.add(
                    new MembershipPolicy.Observation(
                            member,
                            self || isCaughtUp(member.id()),
                            self ? 0 : nowMillis - progress(member.id()).lastReplyMillis));
        }
        List<Member> changed = membershipPolicy.nextMembers(observations);
        if (changed != null) {
            changeMembers(changed);
        }
    }

    private boolean isCaughtUp(String id) {
        Progress peer = progress(id);
        boolean connected =
                peer.lastReplyMillis >= timers.nowMillis() - config.electionTimeoutMillis();
        return connected
                && peer.matchIndex > 0
                && peer.matchIndex + MAX_LEARNER_LAG_ENTRIES > log.lastIndex();
    }
}
