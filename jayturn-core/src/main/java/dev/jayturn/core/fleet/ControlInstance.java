package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamTable;
import dev.jayturn.core.evacuation.EvacuationCallHandler;
import dev.jayturn.core.quarantine.EvidenceShare;
import dev.jayturn.core.quarantine.EvidenceSharing;
import dev.jayturn.core.quarantine.EvidenceTable;
import dev.jayturn.core.ratelimit.RateShare;
import dev.jayturn.core.ratelimit.RateSharing;
import dev.jayturn.core.ratelimit.RateTable;
import dev.jayturn.core.resumption.OriginStore;
import dev.jayturn.core.slice.SliceGrant;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.timer.WallClock;
import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A control instance: collects the reports of entry instances and the heartbeats of upstreams, and
 * sends entry instances the configuration, the upstreams and, on the leader, their slices.
 */
public final class ControlInstance {
    /** An entry instance that has not reported for this time is not counted as live. */
    private static final long ENTRY_TIMEOUT_MILLIS = 3_000;

    /** Interval at which changes of the slices are planned. */
    private static final long PLAN_INTERVAL_MILLIS = 100;

    /** Interval at which heartbeats without a change are forwarded to other control instances. */
    private static final long HEARTBEAT_SHARE_INTERVAL_MILLIS = 1_000;

    /** Departures are forwarded again for this time; a cut may have lost the first message. */
    private static final long DEPARTURE_REPEAT_MILLIS = 20_000;

    /** The list of live entry instances is adopted once it has not changed for this time. */
    private static final long PEERS_STABLE_MILLIS = 700;

    /** The first list after the start is adopted once it has not changed for this time. */
    private static final long FIRST_PEERS_STABLE_MILLIS = 200;

    /** Changes are batched for this time before they are pushed to the entry instances. */
    private static final long PUSH_DELAY_MILLIS = 40;

    /**
     * Time after which changes of upstreams are sent again to an entry instance that has not
     * confirmed them. Has to be longer than the interval of its reports to control instances that
     * are not the leader.
     */
    private static final long TABLE_RESEND_MILLIS = 2_000;

    /**
     * If a report shows that nothing has arrived this time after the first update, that update is
     * sent again. It was lost if it went to the connection of a process that had ended.
     */
    private static final long FIRST_UPDATE_RESEND_MILLIS = 250;

    private final String self;
    private final long epoch;
    private final RaftNode raft;
    private final FleetState state;
    private final Transport transport;
    private final TimerService timers;
    private final WallClock wallClock;
    private final ConfigurationCallHandler configurationCalls;
    private final EvacuationCallHandler evacuationCalls;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final SliceCoordinator sliceCoordinator;
    private final EvidenceTable evidence = new EvidenceTable();
    private final EvidenceSharing evidenceSharing;
    private final RateSharing rateSharing;
    private final OriginStore streamOrigins;
    private final ConfigurationLag configurationLag = new ConfigurationLag();
    private final Map<String, EntryInstanceState> entries = new LinkedHashMap<>();
    private List<Peer> peers = List.of();
    private List<Peer> candidatePeers = List.of();
    private long candidatesSinceMillis;
    private final QuorumListener quorumListener;
    private String lastLeader = "";
    private List<Member> lastMembers = List.of();
    private boolean pushPending;
    private long lastHeartbeatShareMillis;

    /**
     * Starts a control instance.
     *
     * @param epoch epoch of the upstream table and of the calls; has to differ, in its lower 32
     *     bits, after each restart of the process
     */
    public ControlInstance(
            String self,
            long epoch,
            RaftNode raft,
            FleetState state,
            Transport transport,
            TimerService timers,
            WallClock wallClock,
            RetirementListener retirementListener,
            QuorumListener quorumListener) {
        this.quorumListener = quorumListener;
        this.wallClock = wallClock;
        this.self = self;
        this.epoch = epoch;
        this.raft = raft;
        this.state = state;
        this.transport = transport;
        this.timers = timers;
        this.sliceCoordinator = new SliceCoordinator(raft, state, retirementListener);
        this.configurationCalls =
                new ConfigurationCallHandler(
                        self,
                        epoch,
                        raft,
                        state,
                        transport,
                        timers,
                        prepaid -> sliceCoordinator.issueGrowth(prepaid, liveEntries(), peers));
        this.evacuationCalls =
                new EvacuationCallHandler(self, epoch, raft, state.evacuation(), transport, timers);
        this.evidenceSharing =
                new EvidenceSharing(self, evidence, transport, timers, this::liveInstances);
        this.rateSharing =
                new RateSharing(self, new RateTable(), transport, timers, this::liveInstances);
        this.streamOrigins = new OriginStore(self, transport, timers);
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
        } else if (message instanceof EvidenceShare share) {
            evidenceSharing.onChanged(evidence.merge(share, timers.nowMillis()));
        } else if (message instanceof RateShare share) {
            rateSharing.onShare(share);
        } else if (!streamOrigins.handle(message)
                && !configurationCalls.handle(message)
                && !evacuationCalls.handle(message)) {
            raft.handle(message);
        }
    }

    /**
     * Applies the heartbeat of an upstream; on return a change has been sent to all live entry
     * instances.
     */
    public void onHeartbeat(Heartbeat heartbeat) {
        if (upstreams.acceptDirect(heartbeat, timers.nowMillis())) {
            shareHeartbeats(List.of(heartbeat));
            pushAll();
        }
    }

    /**
     * Marks an upstream as gone and sends this to all live entry instances.
     *
     * @param incarnation incarnation that departed; 0 for any
     */
    public void onDeparture(String id, long incarnation) {
        Heartbeat last = upstreams.markGone(id, incarnation, timers.nowMillis());
        if (last != null) {
            shareHeartbeats(List.of(last));
            pushAll();
        }
    }

    /** Puts a configuration in force through the leader. */
    public void put(PutConfiguration put, ConfigurationCallback callback) {
        configurationCalls.submit(put, callback);
    }

    /** Reads the newest configuration through the leader. */
    public void read(ConfigurationCallback callback) {
        configurationCalls.submit(new PutConfiguration(0, new byte[0], Map.of()), callback);
    }

    /** Returns the handler of the orders to empty a data centre or to take it back. */
    public EvacuationCallHandler evacuationCalls() {
        return evacuationCalls;
    }

    /** Sets the control instances that this one asks to join the quorum. */
    public void setSeeds(List<String> addresses) {
        raft.setSeeds(addresses);
    }

    /** Sets the listener that learns how calls are answered and which entry instances lag. */
    public void setConfigurationListener(ConfigurationListener listener) {
        configurationCalls.setListener(listener);
        configurationLag.setListener(listener);
    }

    /** Returns the lowest version that a live entry instance reports; empty if there is none. */
    public OptionalLong lowestEntryVersion() {
        return configurationLag.lowestVersion();
    }

    /** Returns the number of live entry instances that report an older configuration. */
    public int entriesBehind() {
        return configurationLag.behindCount();
    }

    /** Returns the number of streams whose origin this instance has a record of. */
    public int recordedStreams() {
        return streamOrigins.size();
    }

    private void onReport(EntryReport report) {
        EntryInstanceState entry =
                entries.computeIfAbsent(report.from(), e -> new EntryInstanceState());
        if (!entry.holder.equals(report.holder()) && state.slices().isRetired(report.holder())) {
            sendRetired(report);
            return;
        }
        if (!entry.holder.equals(report.holder())) {
            evidenceSharing.exchangeWith(report.from());
        }
        entry.applyReport(report, timers.nowMillis(), wallClock.wallMillis());
        boolean hasUpdate = report.tableEpoch() == epoch;
        entry.confirmedTableRevision = hasUpdate ? report.tableRevision() : 0;
        if (!hasUpdate
                && timers.nowMillis() >= entry.firstUpdateMillis + FIRST_UPDATE_RESEND_MILLIS) {
            entry.forgetUpdates();
        }
        if (raft.isLeader() && (entry.hasShortage() || report.leaving())) {
            sliceCoordinator.plan(entries, liveEntries(), peers, timers.nowMillis());
        }
        push(report.from(), entry);
    }

    /** Notifies an incarnation that it was retired, so that the instance starts another one. */
    private void sendRetired(EntryReport report) {
        EntryInstanceState retiredEntry = new EntryInstanceState();
        retiredEntry.holder = report.holder();
        transport.send(report.from(), createUpdate(retiredEntry, true, List.of()));
    }

    private void tick() {
        long now = timers.nowMillis();
        reportQuorumChanges();
        adoptStablePeers(now);
        configurationLag.update(liveVersions(), state.configuration().version(), now);
        if (raft.isLeader()) {
            sliceCoordinator.plan(entries, liveEntries(), peers, timers.nowMillis());
        }
        if (now - lastHeartbeatShareMillis >= HEARTBEAT_SHARE_INTERVAL_MILLIS) {
            lastHeartbeatShareMillis = now;
            shareHeartbeats(upstreams.receivedDirectlySince(now - HEARTBEAT_SHARE_INTERVAL_MILLIS));
            shareHeartbeats(upstreams.departuresSince(now - DEPARTURE_REPEAT_MILLIS));
            upstreams.removeExpired(now);
        }
    }

    private void reportQuorumChanges() {
        if (!raft.leader().equals(lastLeader)) {
            lastLeader = raft.leader();
            quorumListener.onLeader(lastLeader, raft.term());
        }
        if (!raft.members().equals(lastMembers)) {
            lastMembers = raft.members();
            quorumListener.onMembers(lastMembers);
        }
    }

    /**
     * Adopts the list of live entry instances once it has been stable for a while: after a
     * partition the reports come back one by one, and each change of the addresses moves the home
     * instances of slices. A new incarnation at a known address moves none and is adopted at once.
     */
    private void adoptStablePeers(long now) {
        List<Peer> live = livePeers();
        if (!live.equals(candidatePeers)) {
            candidatePeers = live;
            candidatesSinceMillis = now;
        }
        long wait = peers.isEmpty() ? FIRST_PEERS_STABLE_MILLIS : PEERS_STABLE_MILLIS;
        if (now - candidatesSinceMillis >= wait
                || Peer.addresses(live).equals(Peer.addresses(peers))) {
            peers = candidatePeers;
        }
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

    private Map<String, Long> liveVersions() {
        Map<String, Long> versions = new HashMap<>();
        entries.forEach(
                (address, entry) -> {
                    if (isLive(entry)) {
                        versions.put(address, entry.configurationVersion);
                    }
                });
        return versions;
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

    private List<String> liveInstances() {
        List<String> receivers = new ArrayList<>(controlAddresses());
        entries.forEach(
                (address, entry) -> {
                    if (isLive(entry)) {
                        receivers.add(address);
                    }
                });
        return receivers;
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
     * Pushes updates at once to the entry instances that lack tokens or were issued tokens, since a
     * partition may start at any moment. The others get theirs in answer to their next reports.
     */
    private void pushToWaitingEntries() {
        if (raft.isLeader()) {
            entries.forEach(
                    (address, entry) -> {
                        if (isLive(entry)
                                && (entry.hasShortage()
                                        || sliceCoordinator.hasUnsentIssues(entry))) {
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
        entry.onUpdateSent(timers.nowMillis());
        transport.send(address, createUpdate(entry, false, sliceCoordinator.collectGrants(entry)));
    }

    private FleetUpdate createUpdate(
            EntryInstanceState entry, boolean retired, List<SliceGrant> grants) {
        long now = timers.nowMillis();
        ConfigurationDocument configuration = state.configuration();
        String leader = raft.leader();
        long since = tableRevisionToSendFrom(entry, now);
        return new FleetUpdate(
                self,
                entry.holder,
                retired,
                leader.isEmpty() ? "" : Addresses.instanceOf(leader),
                controlAddresses(),
                peersToSend(entry, now),
                Math.max(peers.size(), liveEntries().size()),
                configuration.version(),
                retired ? null : entry.documentToSend(configuration, now),
                epoch,
                since,
                upstreams.revision(),
                upstreams.changedSince(since),
                state.slices().lease(entry.holder) != null,
                grants,
                entry.lastReportSentMillis,
                state.evacuation().revision(),
                state.evacuation().emptied());
    }

    /**
     * Returns the peers and records them as sent; null if the entry instance knows them, was sent
     * them recently, or this instance is not the leader.
     */
    private @Nullable List<Peer> peersToSend(EntryInstanceState entry, long now) {
        int hash = peers.hashCode();
        boolean sent =
                entry.sentPeersHash == hash
                        && now - entry.sentPeersMillis < EntryInstanceState.RESEND_MILLIS;
        if (entry.knownPeersHash == hash || sent || !raft.isLeader()) {
            return null;
        }
        entry.sentPeersHash = hash;
        entry.sentPeersMillis = now;
        return peers;
    }

    /**
     * Returns the revision after which changes are sent to an entry instance, and records the
     * current one as sent. Changes that were sent count as received until their confirmation is
     * overdue.
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
