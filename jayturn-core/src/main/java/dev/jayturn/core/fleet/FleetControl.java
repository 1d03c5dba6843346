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
public final class FleetControl {
    /** An entry instance that has not reported for so long is not counted as live. */
    private static final long LIVE_MILLIS = 3_000;

    /** Time between two looks at the slices, in milliseconds. */
    private static final long PLAN_MILLIS = 100;

    /** Time between two shares of heartbeats that changed nothing, in milliseconds. */
    private static final long SHARE_MILLIS = 1_000;

    /** The list of live entry instances is believed once it stayed the same for so long. */
    private static final long SETTLE_MILLIS = 700;

    /** The same for the first list of a life. */
    private static final long FIRST_SETTLE_MILLIS = 200;

    /** Changes of upstreams are gathered for so long before the entry instances are told. */
    private static final long GATHER_MILLIS = 40;

    /**
     * Time after which changes of upstreams are sent again to an entry that has not confirmed them:
     * longer than between two of its reports to an instance that does not lead.
     */
    private static final long RESEND_CHANGES_MILLIS = 2_000;

    /** Time after which the configuration is sent again to an entry that still lacks it. */
    private static final long RESEND_MILLIS = 600;

    private final String self;
    private final long epoch;
    private final RaftNode raft;
    private final FleetState state;
    private final Transport transport;
    private final TimerService timers;
    private final WallClock wallClock;
    private final ConfigurationDesk desk;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final FleetSlices slices;
    private final Map<String, EntryRecord> entries = new LinkedHashMap<>();
    private List<Peer> peers = List.of();
    private List<Peer> candidates = List.of();
    private long candidatesMillis;
    private boolean pushPending;
    private long lastShareMillis;

    /**
     * Starts a control instance.
     *
     * @param epoch differs in each life of the process
     */
    public FleetControl(
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
        this.slices = new FleetSlices(raft, state, wallClock);
        this.desk = new ConfigurationDesk(self, raft, state, transport, timers);
        state.onChange(this::schedulePush, this::pushAwaited);
        timers.every(PLAN_MILLIS, this::tick);
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
        } else if (!desk.handle(message)) {
            raft.handle(message);
        }
    }

    /** Takes a heartbeat from an upstream; once this returns, all entries are being told. */
    public void onHeartbeat(Heartbeat heartbeat) {
        if (upstreams.acceptDirect(heartbeat, timers.nowMillis())) {
            share(List.of(heartbeat));
            pushAll();
        }
    }

    /** Takes the departure of one life of an upstream; 0 for whichever it is. */
    public void onDeparture(String id, long incarnation) {
        Heartbeat last = upstreams.markGone(id, incarnation, timers.nowMillis());
        if (last != null) {
            share(List.of(last));
            pushAll();
        }
    }

    /** Puts a configuration in force through the leader. */
    public void put(PutConfiguration put, ConfigurationReply reply) {
        desk.call(put, reply);
    }

    /** Reads the newest configuration through the leader. */
    public void read(ConfigurationReply reply) {
        desk.call(new PutConfiguration(0, new byte[0], Map.of()), reply);
    }

    /** Sets the control instances that this one asks to join. */
    public void setSeeds(List<String> addresses) {
        raft.setSeeds(addresses);
    }

    private void onReport(EntryReport report) {
        EntryRecord entry = entries.computeIfAbsent(report.from(), e -> new EntryRecord());
        if (!entry.holder.equals(report.holder()) && state.slices().isRetired(report.holder())) {
            sendRetired(report);
            return;
        }
        entry.accept(report, timers.nowMillis(), wallClock.wallMillis());
        entry.tableRevision = report.tableEpoch() == epoch ? report.tableRevision() : 0;
        if (raft.isLeader() && (entry.isShort() || report.leaving())) {
            slices.plan(entries, live(), peers);
        }
        push(report.from(), entry);
    }

    private void sendRetired(EntryReport report) {
        EntryRecord blank = new EntryRecord();
        blank.holder = report.holder();
        transport.send(report.from(), update(blank, true, List.of()));
    }

    private void tick() {
        long now = timers.nowMillis();
        settlePeers(now);
        if (raft.isLeader()) {
            slices.plan(entries, live(), peers);
        }
        if (now - lastShareMillis >= SHARE_MILLIS) {
            lastShareMillis = now;
            share(upstreams.receivedDirectlySince(now - SHARE_MILLIS));
            upstreams.removeExpired(now);
        }
    }

    /**
     * Takes over who lives once that has not changed for a while: after a cut the reports come back
     * one by one, and each change of the list moves the homes of slices. A new life of an instance
     * moves none.
     */
    private void settlePeers(long now) {
        List<Peer> live = livePeers();
        if (!live.equals(candidates)) {
            candidates = live;
            candidatesMillis = now;
        }
        long wait = peers.isEmpty() ? FIRST_SETTLE_MILLIS : SETTLE_MILLIS;
        if (now - candidatesMillis >= wait || addresses(live).equals(addresses(peers))) {
            peers = candidates;
        }
    }

    private static List<String> addresses(List<Peer> peers) {
        List<String> addresses = new ArrayList<>();
        peers.forEach(peer -> addresses.add(peer.address()));
        return addresses;
    }

    private boolean isLive(EntryRecord entry) {
        return timers.nowMillis() - entry.heardMillis < LIVE_MILLIS;
    }

    private List<EntryRecord> live() {
        List<EntryRecord> live = new ArrayList<>();
        for (EntryRecord entry : entries.values()) {
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

    private void share(List<Heartbeat> heartbeats) {
        if (heartbeats.isEmpty()) {
            return;
        }
        HeartbeatShare share = new HeartbeatShare(heartbeats);
        for (String control : controls()) {
            if (!control.equals(self)) {
                transport.send(control, share);
            }
        }
    }

    private List<String> controls() {
        Set<String> addresses = new LinkedHashSet<>();
        for (Member member : raft.members()) {
            addresses.add(Addresses.instanceOf(member.id()));
        }
        return new ArrayList<>(addresses);
    }

    private void schedulePush() {
        if (!pushPending) {
            pushPending = true;
            timers.schedule(GATHER_MILLIS, this::pushAll);
        }
    }

    /**
     * Tells those at once whose requests wait for tokens, and those that tokens were issued to: a
     * cut may come at any moment. The others hear with their reports.
     */
    private void pushAwaited() {
        if (raft.isLeader()) {
            entries.forEach(
                    (address, entry) -> {
                        if (isLive(entry) && (entry.isShort() || slices.hasNews(entry))) {
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

    private void push(String address, EntryRecord entry) {
        transport.send(address, update(entry, false, slices.takeGrants(entry)));
    }

    private FleetUpdate update(EntryRecord entry, boolean retired, List<SliceGrant> grants) {
        long now = timers.nowMillis();
        ConfigurationDocument held = state.configuration();
        String leader = raft.leader();
        long since = takeTableRevision(entry, now);
        return new FleetUpdate(
                self,
                entry.holder,
                retired,
                leader.isEmpty() ? "" : Addresses.instanceOf(leader),
                controls(),
                takePeers(entry, now),
                peers.size(),
                held.version(),
                retired ? null : takeDocument(entry, held, now),
                epoch,
                since,
                upstreams.revision(),
                upstreams.changedSince(since),
                state.slices().lease(entry.holder) != null,
                grants);
    }

    /** Returns the live entry instances if an entry knows others and was not told just now. */
    private @Nullable List<Peer> takePeers(EntryRecord entry, long now) {
        int hash = peers.hashCode();
        boolean sent = entry.peersSent == hash && now - entry.peersSentMillis < RESEND_MILLIS;
        if (entry.peersKnown == hash || sent || !raft.isLeader()) {
            return null;
        }
        entry.peersSent = hash;
        entry.peersSentMillis = now;
        return peers;
    }

    /** Returns the configuration if an entry lacks it and was not sent it just now. */
    private static byte @Nullable [] takeDocument(
            EntryRecord entry, ConfigurationDocument held, long now) {
        boolean sent =
                entry.documentSentVersion == held.version()
                        && now - entry.documentSentMillis < RESEND_MILLIS;
        if (entry.version >= held.version() || sent) {
            return null;
        }
        entry.documentSentVersion = held.version();
        entry.documentSentMillis = now;
        return held.document();
    }

    /**
     * Returns the revision from which on an entry is sent changes: what it was sent is believed to
     * arrive, until it has not confirmed it for too long.
     */
    private long takeTableRevision(EntryRecord entry, long now) {
        boolean overdue = now - entry.tableSentMillis > RESEND_CHANGES_MILLIS;
        long since = entry.tableRevision;
        if (entry.tableSentRevision > since && !overdue) {
            since = entry.tableSentRevision;
        }
        if (upstreams.revision() > since) {
            entry.tableSentRevision = upstreams.revision();
            entry.tableSentMillis = now;
        }
        return since;
    }
}
