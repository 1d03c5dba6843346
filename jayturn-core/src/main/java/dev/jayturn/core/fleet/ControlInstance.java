package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamTable;
import dev.jayturn.core.slice.SliceGrant;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.timer.WallClock;
import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A control instance's side of the fleet: its entry instances, its upstreams and the slices. */
public final class ControlInstance {
    /** An entry instance that has not reported for so long is not counted as live. */
    private static final long ENTRY_TIMEOUT_MILLIS = 3_000;

    /** Time between two looks at the slices, in milliseconds. */
    private static final long PLAN_INTERVAL_MILLIS = 100;

    /** Time between two shares of heartbeats that changed nothing, in milliseconds. */
    private static final long HEARTBEAT_SHARE_INTERVAL_MILLIS = 1_000;

    /** The list of live entry instances is believed once it stayed the same for so long. */
    private static final long PEERS_STABLE_MILLIS = 700;

    /** The same for the first list of a life. */
    private static final long FIRST_PEERS_STABLE_MILLIS = 200;

    /** Changes of upstreams are gathered for so long before the entry instances are told. */
    private static final long PUSH_DELAY_MILLIS = 40;

    /**
     * Time after which changes of upstreams are sent again to an entry that has not confirmed them:
     * longer than between two of its reports to an instance that does not lead.
     */
    private static final long TABLE_RESEND_MILLIS = 2_000;

    /** Time after which the configuration is sent again to an entry that still lacks it. */
    private static final long RESEND_MILLIS = 600;

    private final String self;
    private final long epoch;
    private final RaftNode raft;
    private final FleetState state;
    private final Transport transport;
    private final TimerService timers;
    private final WallClock wallClock;
    private final ConfigurationCallHandler configurationCalls;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final SliceCoordinator slices;
    private final Map<String, EntryInstanceState> entries = new LinkedHashMap<>();
    private List<Peer> peers = List.of();
    private List<Peer> candidatePeers = List.of();
    private long candidatesSinceMillis;
    private boolean pushPending;
    private long lastShareMillis;

    /**
     * Starts a control instance.
     *
     * @param epoch differs in each life of the process
     */
    public ControlInstance(
            String self,
            long epoch,
            RaftNode raft,
            FleetState state,
            Transport transport,
            TimerService timers,
            WallClock wallClock) {
        this.wallClock = wallClock;
        this.self = self;
        this.epoch = epoch;
        this.raft = raft;
        this.state = state;
        this.transport = transport;
        this.timers = timers;
        this.slices = new SliceCoordinator(raft, state, wallClock);
        this.configurationCalls =
                new ConfigurationCallHandler(self, raft, state, transport, timers);
        state.setListeners(this::schedulePush, this::pushToWaitingEntries);
        timers.every(PLAN_INTERVAL_MILLIS, this::tick);
    }

    /** Handles a message from another instance. */
    public void handle(Message message) {
        if (message instanceof EntryReport report) {
            onReport(report);
        } else if (message instanceof HeartbeatShare share) {
            boolean changed = false;
            for (Heartbeat heartbeat : share.heartbeats()) {
                changed |= upstreams.accept(heartbeat, timers.nowMillis());
            }
            if (changed) {
                schedulePush();
            }
        } else if (!configurationCalls.handle(message)) {
            raft.handle(message);
        }
    }

    /** Takes a heartbeat from an upstream; once this returns, all entries are being told. */
    public void onHeartbeat(Heartbeat heartbeat) {
        if (upstreams.acceptDirect(heartbeat, timers.nowMillis())) {
            shareHeartbeats(List.of(heartbeat));
            pushAll();
        }
    }

    /** Takes the departure of one life of an upstream; 0 for whichever it is. */
    public void onDeparture(String id, long incarnation) {
        Heartbeat last = upstreams.markGone(id, incarnation, timers.nowMillis());
        if (last != null) {
            shareHeartbeats(List.of(last));
            pushAll();
        }
    }

    /** Puts a configuration in force through the leader. */
    public void put(PutConfiguration put, ConfigurationCallback reply) {
        configurationCalls.submit(put, reply);
    }

    /** Reads the newest configuration through the leader. */
    public void read(ConfigurationCallback reply) {
        configurationCalls.submit(new PutConfiguration(0, new byte[0], Map.of()), reply);
    }

    /** Sets the control instances that this one asks to join. */
    public void setSeeds(List<String> addresses) {
        raft.setSeeds(addresses);
    }

    private void onReport(EntryReport report) {
        EntryInstanceState entry =
                entries.computeIfAbsent(report.from(), e -> new EntryInstanceState());
        if (!entry.holder.equals(report.holder()) && state.slices().isRetired(report.holder())) {
            sendRetired(report);
            return;
        }
        entry.applyReport(report, timers.nowMillis(), wallClock.wallMillis());
        entry.confirmedTableRevision = report.tableEpoch() == epoch ? report.tableRevision() : 0;
        if (raft.isLeader() && (entry.hasShortage() || report.leaving())) {
            slices.plan(entries, liveEntries(), peers);
        }
        push(report.from(), entry);
    }

    private void sendRetired(EntryReport report) {
        EntryInstanceState blank = new EntryInstanceState();
        blank.holder = report.holder();
        transport.send(report.from(), createUpdate(blank, true, List.of()));
    }

    private void tick() {
        long now = timers.nowMillis();
        adoptStablePeers(now);
        if (raft.isLeader()) {
            slices.plan(entries, liveEntries(), peers);
        }
        if (now - lastShareMillis >= HEARTBEAT_SHARE_INTERVAL_MILLIS) {
            lastShareMillis = now;
            shareHeartbeats(upstreams.receivedDirectlySince(now - HEARTBEAT_SHARE_INTERVAL_MILLIS));
            upstreams.removeExpired(now);
        }
    }

    /**
     * Takes over who lives once that has not changed for a while: after a cut the reports come back
     * one by one, and each change of the list moves the homes of slices. A new life of an instance
     * moves none.
     */
    private void adoptStablePeers(long now) {
        List<Peer> live = livePeers();
        if (!live.equals(candidatePeers)) {
            candidatePeers = live;
            candidatesSinceMillis = now;
        }
        long wait = peers.isEmpty() ? FIRST_PEERS_STABLE_MILLIS : PEERS_STABLE_MILLIS;
        if (now - candidatesSinceMillis >= wait || addresses(live).equals(addresses(peers))) {
            peers = candidatePeers;
        }
    }

    private static List<String> addresses(List<Peer> peers) {
        List<String> addresses = new ArrayList<>();
        peers.forEach(peer -> addresses.add(peer.address()));
        return addresses;
    }

    private boolean isLive(EntryInstanceState entry) {
        return timers.nowMillis() - entry.lastReportMillis < ENTRY_TIMEOUT_MILLIS;
    }

    private List<EntryInstanceState> liveEntries() {
        List<EntryInstanceState> live = new ArrayList<>();
        for (EntryInstanceState entry : entries.values()) {
            if (isLive(entry)) {
                live.add(entry);
            }
        }
        return live;
    }

    private List<Peer> livePeers() {
        List<Peer> live = new ArrayList<>();
        entries.forEach(
                (address, entry) -> {
                    if (isLive(entry) && !entry.leaving) {
                        live.add(new Peer(address, entry.dataCentre, entry.holder));
                    }
                });
        live.sort(Comparator.comparing(Peer::address));
        return live;
    }

    private void shareHeartbeats(List<Heartbeat> heartbeats) {
        if (heartbeats.isEmpty()) {
            return;
        }
        HeartbeatShare share = new HeartbeatShare(heartbeats);
        for (String control : controlAddresses()) {
            if (!control.equals(self)) {
                transport.send(control, share);
            }
        }
    }

    private List<String> controlAddresses() {
        Set<String> addresses = new LinkedHashSet<>();
        for (Member member : raft.members()) {
            addresses.add(Addresses.instanceOf(member.id()));
        }
        return new ArrayList<>(addresses);
    }

    private void schedulePush() {
        if (!pushPending) {
            pushPending = true;
            timers.schedule(PUSH_DELAY_MILLIS, this::pushAll);
        }
    }

    /**
     * Tells those at once whose requests wait for tokens, and those that tokens were issued to: a
     * cut may come at any moment. The others hear with their reports.
     */
    private void pushToWaitingEntries() {
        if (raft.isLeader()) {
            entries.forEach(
                    (address, entry) -> {
                        if (isLive(entry)
                                && (entry.hasShortage() || slices.hasUnsentIssues(entry))) {
                            push(address, entry);
                        }
                    });
        }
    }

    private void pushAll() {
        pushPending = false;
        entries.forEach(
                (address, entry) -> {
                    if (isLive(entry)) {
                        push(address, entry);
                    }
                });
    }

    private void push(String address, EntryInstanceState entry) {
        transport.send(address, createUpdate(entry, false, slices.collectGrants(entry)));
    }

    private FleetUpdate createUpdate(
            EntryInstanceState entry, boolean retired, List<SliceGrant> grants) {
        long now = timers.nowMillis();
        ConfigurationDocument held = state.configuration();
        String leader = raft.leader();
        long since = tableRevisionToSendFrom(entry, now);
        return new FleetUpdate(
                self,
                entry.holder,
                retired,
                leader.isEmpty() ? "" : Addresses.instanceOf(leader),
                controlAddresses(),
                peersToSend(entry, now),
                peers.size(),
                held.version(),
                retired ? null : documentToSend(entry, held, now),
                epoch,
                since,
                upstreams.revision(),
                upstreams.changedSince(since),
                state.slices().lease(entry.holder) != null,
                grants);
    }

    /** Returns the live entry instances if an entry knows others and was not told just now. */
    private @Nullable List<Peer> peersToSend(EntryInstanceState entry, long now) {
        int hash = peers.hashCode();
        boolean sent = entry.sentPeersHash == hash && now - entry.sentPeersMillis < RESEND_MILLIS;
        if (entry.knownPeersHash == hash || sent || !raft.isLeader()) {
            return null;
        }
        entry.sentPeersHash = hash;
        entry.sentPeersMillis = now;
        return peers;
    }

    /** Returns the configuration if an entry lacks it and was not sent it just now. */
    private static byte @Nullable [] documentToSend(
            EntryInstanceState entry, ConfigurationDocument held, long now) {
        boolean sent =
                entry.sentDocumentVersion == held.version()
                        && now - entry.sentDocumentMillis < RESEND_MILLIS;
        if (entry.configurationVersion >= held.version() || sent) {
            return null;
        }
        entry.sentDocumentVersion = held.version();
        entry.sentDocumentMillis = now;
        return held.document();
    }

    /**
     * Returns the revision from which on an entry is sent changes: what it was sent is believed to
     * arrive, until it has not confirmed it for too long.
     */
    private long tableRevisionToSendFrom(EntryInstanceState entry, long now) {
        boolean overdue = now - entry.sentTableMillis > TABLE_RESEND_MILLIS;
        long since = entry.confirmedTableRevision;
        if (entry.sentTableRevision > since && !overdue) {
            since = entry.sentTableRevision;
        }
        if (upstreams.revision() > since) {
            entry.sentTableRevision = upstreams.revision();
            entry.sentTableMillis = now;
        }
        return since;
    }
}
