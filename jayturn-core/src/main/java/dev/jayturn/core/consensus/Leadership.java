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
import org.jspecify.annotations.Nullable;

/** One term's leadership: replication, commits, confirmed reads and membership changes. */
final class Leadership {
    private static final int MAX_BATCH_ENTRIES = 512;
    private static final int MAX_CHUNK_ITEMS = 1_000;
    private static final int MAX_LEARNER_LAG_ENTRIES = 64;

    private final RaftNode node;
    private final RaftConfig config;
    private final RaftLog log;
    private final Transport transport;
    private final TimerService timers;
    private final long term;
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
    }

    void start() {
        termStartIndex = log.lastIndex() + 1;
        memberChangeIndex = log.lastIndex();
        append(new NoOp());
        flush();
    }

    void end() {
        ended = true;
        for (ProposalCallback proposal : pendingProposals.values()) {
            proposal.onLeadershipLost();
        }
        pendingProposals.clear();
        for (PendingRead read : pendingReads) {
            read.callback().onResult(false);
        }
        pendingReads.clear();
    }

    void propose(Command command, ProposalCallback proposal) {
        long index = append(command);
        pendingProposals.put(index, proposal);
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
        ProposalCallback proposal = pendingProposals.remove(index);
        if (proposal != null) {
            proposal.onApplied(outcome);
        }
    }

    /** Sends heartbeats; returns false once no quorum has been heard for an election timeout. */
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
            promoteLearner();
        }
        return true;
    }

    private boolean hasQuorum(long sinceMillis) {
        Set<String> heard = new HashSet<>();
        heard.add(config.id());
        for (Member member : node.memberSet().list()) {
            Progress peer = progressById.get(member.id());
            if (peer == null || peer.lastReplyMillis >= sinceMillis) {
                heard.add(member.id());
            }
        }
        return node.memberSet().isQuorum(heard);
    }

    /** Returns the members heard of within an election timeout, this one included. */
    List<String> connectedMembers() {
        long since = timers.nowMillis() - config.electionTimeoutMillis();
        List<String> ids = new ArrayList<>();
        for (Member member : node.memberSet().list()) {
            Progress peer = progressById.get(member.id());
            boolean self = member.id().equals(config.id());
            if (self || (peer != null && peer.matchIndex > 0 && peer.lastReplyMillis >= since)) {
                ids.add(member.id());
            }
        }
        return ids;
    }

    void confirmLeadership(LeadershipCallback confirmation) {
        round++;
        pendingReads.add(
                new PendingRead(round, Math.max(node.commitIndex(), termStartIndex), confirmation));
        for (Member member : node.memberSet().list()) {
            sendHeartbeat(member.id(), timers.nowMillis());
        }
        answerConfirmedReads();
    }

    private void answerConfirmedReads() {
        List<PendingRead> ready = new ArrayList<>();
        for (PendingRead read : pendingReads) {
            if (isConfirmed(read)) {
                ready.add(read);
            }
        }
        pendingReads.removeAll(ready);
        for (PendingRead read : ready) {
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
            // What was sent may be lost; go on from what is known to be there.
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
        long prev = peer.nextIndex - 1;
        List<LogEntry> entries = log.entriesFrom(peer.nextIndex, MAX_BATCH_ENTRIES);
        AppendRequest request =
                new AppendRequest(
                        config.id(),
                        id,
                        term,
                        prev,
                        log.termAt(prev),
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
        if (reply.nextOffset() > log.snapshotItems().size()) {
            peer.snapshotOffset = -1;
            peer.matchIndex = Math.max(peer.matchIndex, reply.index());
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
        if (reply.success()) {
            peer.matchIndex = Math.max(peer.matchIndex, reply.index());
            peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
            advanceCommitIndex();
            if (peer.nextIndex <= log.lastIndex() && !peer.isInstallingSnapshot()) {
                sendEntries(reply.from(), peer);
            }
        } else if (!peer.isInstallingSnapshot()) {
            long hint = Math.max(reply.index(), peer.matchIndex);
            peer.nextIndex = Math.min(peer.nextIndex, hint + 1);
            peer.nextIndex = Math.max(peer.nextIndex, 1);
            sendEntries(reply.from(), peer);
        }
        answerConfirmedReads();
    }

    private void advanceCommitIndex() {
        MemberSet members = node.memberSet();
        long[] matches = new long[members.voterCount()];
        int count = 0;
        for (Member member : members.list()) {
            if (member.voter()) {
                matches[count++] = matchIndexOf(member.id());
            }
        }
        Arrays.sort(matches);
        long agreed = matches[matches.length - members.quorumSize()];
        // Only entries of the own term are committed by counting (Raft section 5.4.2).
        if (agreed > node.commitIndex() && log.termAt(agreed) == term) {
            node.advanceCommit(agreed);
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
            changeMembers(node.memberSet().with(new Member(id, false)));
        }
    }

    boolean changeMembers(List<Member> changed) {
        boolean ready =
                node.commitIndex() >= memberChangeIndex && node.commitIndex() >= termStartIndex;
        boolean keepsLeader = new MemberSet(changed).isVoter(config.id());
        if (!ready || !keepsLeader || changed.equals(node.memberSet().list())) {
            return false;
        }
        memberChangeIndex = append(new MemberChange(changed));
        node.reloadMembers();
        return true;
    }

    /** Takes the next step of a repair: out with the former voter, then in with the learner. */
    private void promoteLearner() {
        for (Member member : node.memberSet().list()) {
            if (member.voter() || !isCaughtUp(member.id())) {
                continue;
            }
            @Nullable Member former = node.memberSet().findReplacedVoter(member.id());
            if (former != null) {
                changeMembers(node.memberSet().without(former.id()));
            } else {
                changeMembers(node.memberSet().with(new Member(member.id(), true)));
            }
            return;
        }
    }

    private boolean isCaughtUp(String id) {
        Progress peer = progress(id);
        boolean heard = peer.lastReplyMillis >= timers.nowMillis() - config.electionTimeoutMillis();
        return heard
                && peer.matchIndex > 0
                && peer.matchIndex + MAX_LEARNER_LAG_ENTRIES > log.lastIndex();
    }
}
