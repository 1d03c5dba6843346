package dev.jayturn.core.fleet;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceAccounts;
import dev.jayturn.core.slice.SliceGrant;
import dev.jayturn.core.slice.SliceLease;
import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.timer.WallClock;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An entry instance's side of the fleet: what it has heard of control, and its slices. */
public final class EntryInstance {
    private static final long REPORT_INTERVAL_MILLIS = 300;

    /** Time between reports to control instances that do not lead. */
    private static final long FOLLOWER_REPORT_INTERVAL_MILLIS = 1_200;

    /** Time between two returns of what requests left over, in milliseconds. */
    private static final long SURPLUS_INTERVAL_MILLIS = 250;

    /** With more entry instances than this each reports half as often. */
    private static final int MAX_ENTRIES_AT_FULL_RATE = 24;

    /** A shortage is reported at once, but not more often than this. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 40;

    /** Control instances that are not listed any more are forgotten after this time. */
    private static final long CONTROL_FORGET_MILLIS = 10_000;

    /** A restarted control leads and tells the entry instances of their slices in this time. */
    private static final long START_GRACE_MILLIS = 3_000;

    private static final ClockReading NO_PROMISE = new ClockReading("", 0, 0);

    /** Without an update for so long the instance counts itself as cut off. */
    private static final long LEADER_TIMEOUT_MILLIS = 1_500;

    private final String self;
    private List<String> seeds;
    private final Transport transport;
    private final TimerService timers;
    private final RandomSource random;
    private final FleetListener listener;
    private final SliceAccounts slices = new SliceAccounts();
    private final TokenTransfers tokenTransfers;
    private final Map<String, ControlState> controls = new LinkedHashMap<>();
    private final String dataCentre;
    private final String bootId;
    private final WallClock wallClock;
    private ClockReading startedAt;
    private ClockReading promisedAt = NO_PROMISE;
    private String holder;
    private boolean leaseCommitted;
    private String leader = "";
    private long lastLeaderUpdateMillis = Long.MIN_VALUE / 2;
    private long configurationVersion;
    private int entryCount = 1;
    private int knownPeersHash;
    private long lastReportMillis;
    private long ticks;
    private boolean shortageReportScheduled;
    private boolean leaving;
    private boolean leaderKnown;
    private boolean grantsReceived;
    private final long startedMillis;

    private static final class ControlState {
        long tableEpoch;
        long tableRevision;
        long lastUpdateMillis;
        long lastReportMillis;
    }

    public EntryInstance(
            String self,
            String dataCentre,
            List<String> seeds,
            Transport transport,
            TimerService timers,
            RandomSource random,
            WallClock wallClock,
            String boot,
            FleetListener listener) {
        this.dataCentre = dataCentre;
        this.wallClock = wallClock;
        this.bootId = boot;
        this.self = self;
        this.seeds = List.of();
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
        this.holder = newHolder();
        this.startedAt = readClock();
        this.startedMillis = timers.nowMillis();
        this.tokenTransfers =
                new TokenTransfers(
                        self, dataCentre, slices, transport, timers, random, listener::onSlices);
        setSeeds(seeds);
        timers.every(REPORT_INTERVAL_MILLIS, this::tick);
        timers.every(SURPLUS_INTERVAL_MILLIS, this::sendSurplus);
        timers.schedule(0, this::report);
    }

    /** Sets the control instances that are always told of this one. */
    public void setSeeds(List<String> addresses) {
        seeds = List.copyOf(addresses);
        for (String seed : seeds) {
            controls.computeIfAbsent(seed, c -> new ControlState());
        }
    }

    private ClockReading readClock() {
        return new ClockReading(bootId, timers.nowMillis(), wallClock.wallMillis());
    }

    private String newHolder() {
        return self + '#' + Long.toHexString(random.nextLong());
    }

    /** Returns the slices that this instance spends from. */
    public SliceAccounts slices() {
        boolean promiseRuns =
                timers.nowMillis() < promisedAt.monotonicMillis() + SliceLease.DURATION_MILLIS;
        slices.setLeased(!leaseCommitted || promiseRuns);
        return slices;
    }

    /** Returns the number of live entry instances that control last spoke of. */
    public int entryCount() {
        return entryCount;
    }

    /** Returns whether a configuration and a leader have been heard of in this life. */
    public boolean isSynced() {
        return configurationVersion > 0 && leaderKnown;
    }

    /**
     * Returns whether this life is so young that the configuration and the first slices are still
     * to come. When all processes died at once, callers are back before control has a leader.
     */
    public boolean isStarting() {
        return !grantsReceived && timers.nowMillis() - startedMillis < START_GRACE_MILLIS;
    }

    /** Returns whether the leader has been heard of lately. */
    public boolean isLeaderReachable() {
        return timers.nowMillis() - lastLeaderUpdateMillis < LEADER_TIMEOUT_MILLIS;
    }

    /**
     * Asks for tokens that a request lacks: the instance that keeps the customer's slice in this
     * data centre, and through it the leader, or the other instances while the leader is away.
     *
     * @return whether anybody may still have some
     */
    public boolean requestTokens(String customer, long tokens) {
        if (isStarting()) {
            slices.recordShortage(customer, tokens);
            return true;
        }
        if (isLeaderReachable() && tokenTransfers.isHome(customer)) {
            reportShortage(customer, tokens);
            return true;
        }
        return tokenTransfers.request(holder, customer, tokens, isLeaderReachable());
    }

    private void reportShortage(String customer, long tokens) {
        slices.recordShortage(customer, tokens);
        if (!shortageReportScheduled) {
            shortageReportScheduled = true;
            long wait =
                    Math.max(0, lastReportMillis + MIN_REPORT_INTERVAL_MILLIS - timers.nowMillis());
            timers.schedule(wait, this::report);
        }
    }

    /** Asks the other instances, after the leader has not helped. */
    public void requestPeerTokens(String customer, long tokens) {
        tokenTransfers.request(holder, customer, tokens, false);
    }

    /** Gives all free tokens back; call once nothing more will be spent. */
    public void leave() {
        leaving = true;
        slices.returnAllFree();
        report();
    }

    /** What requests left over would else lie about in parts too small for the next one. */
    private void sendSurplus() {
        slices();
        tokenTransfers.sendSurplusToHomes(holder, isLeaderReachable());
    }

    private void tick() {
        ticks++;
        if (entryCount <= MAX_ENTRIES_AT_FULL_RATE || ticks % 2 == 0) {
            report();
        }
    }

    private void report() {
        shortageReportScheduled = false;
        lastReportMillis = timers.nowMillis();
        List<SliceStatus> statuses = slices().report(lastReportMillis);
        boolean knowsLeader = controls.containsKey(leader) && isLeaderReachable();
        controls.forEach(
                (address, control) -> {
                    boolean full = address.equals(leader) || !knowsLeader;
                    if (!full
                            && lastReportMillis - control.lastReportMillis
                                    < FOLLOWER_REPORT_INTERVAL_MILLIS) {
                        return;
                    }
                    control.lastReportMillis = lastReportMillis;
                    transport.send(
                            address,
                            new EntryReport(
                                    self,
                                    dataCentre,
                                    holder,
                                    startedAt,
                                    full ? promisedAt : NO_PROMISE,
                                    configurationVersion,
                                    control.tableEpoch,
                                    control.tableRevision,
                                    knownPeersHash,
                                    full ? statuses : List.of(),
                                    leaving));
                });
    }

    /** Handles a message from another instance. */
    public void handle(Message message) {
        if (message instanceof FleetUpdate update && update.holder().equals(holder)) {
            onUpdate(update);
        } else if (message instanceof TokenAsk ask) {
            boolean enough = slices().hasFree(ask.customer(), ask.tokens());
            if (!enough && isLeaderReachable() && tokenTransfers.isHome(ask.customer())) {
                reportShortage(ask.customer(), ask.tokens());
            }
            tokenTransfers.onTokenAsk(ask, holder);
        } else if (message instanceof TokenGive give) {
            tokenTransfers.onTokenGive(give, holder);
        }
    }

    private void onUpdate(FleetUpdate update) {
        long now = timers.nowMillis();
        if (update.retired()) {
            holder = newHolder();
            startedAt = readClock();
            promisedAt = NO_PROMISE;
            leaseCommitted = false;
            slices.startNewIncarnation();
            return;
        }
        ControlState control = controls.computeIfAbsent(update.from(), c -> new ControlState());
        control.lastUpdateMillis = now;
        updateControls(update.controls(), now);
        if (!update.leader().isEmpty()) {
            leader = update.leader();
            leaderKnown = true;
            entryCount = Math.max(1, update.entries());
        }
        List<Peer> peers = update.peers();
        if (peers != null) {
            knownPeersHash = peers.hashCode();
            updatePeers(peers);
        }
        if (update.from().equals(update.leader())) {
            lastLeaderUpdateMillis = now;
            promisedAt = readClock();
            leaseCommitted |= update.leaseKept();
        }
        for (Heartbeat heartbeat : update.upstreams()) {
            listener.onUpstream(heartbeat);
        }
        if (control.tableEpoch != update.tableEpoch()) {
            control.tableEpoch = update.tableEpoch();
            control.tableRevision = 0;
        }
        if (update.tableSince() <= control.tableRevision) {
            // Else a message before this one was lost, and its changes are asked for again.
            control.tableRevision = Math.max(control.tableRevision, update.tableRevision());
        }
        byte[] document = update.document();
        if (document != null && update.version() > configurationVersion) {
            configurationVersion = update.version();
            listener.onConfiguration(new ConfigurationDocument(configurationVersion, document));
        }
        for (SliceGrant grant : update.grants()) {
            slices.applyGrant(grant, now);
        }
        if (!update.grants().isEmpty()) {
            grantsReceived = true;
            listener.onSlices();
        }
    }

    private void updatePeers(List<Peer> peers) {
        tokenTransfers.setPeers(peers);
        listener.onPeers(peers);
    }

    private void updateControls(List<String> listed, long now) {
        if (listed.isEmpty()) {
            return;
        }
        for (String address : listed) {
            controls.computeIfAbsent(address, c -> new ControlState());
        }
        Set<String> known = new HashSet<>(listed);
        known.addAll(seeds);
        List<String> old = new ArrayList<>();
        controls.forEach(
                (address, control) -> {
                    if (!known.contains(address)
                            && now - control.lastUpdateMillis > CONTROL_FORGET_MILLIS) {
                        old.add(address);
                    }
                });
        old.forEach(controls::remove);
    }
}
