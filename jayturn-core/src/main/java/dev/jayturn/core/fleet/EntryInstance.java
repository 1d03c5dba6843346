package dev.jayturn.core.fleet;

import dev.jayturn.core.directory.DirectoryFreshness;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.evacuation.EvacuationView;
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
import java.util.function.IntConsumer;

/**
 * An entry instance: reports to the control instances, applies their updates and holds the slices
 * that requests spend from.
 */
public final class EntryInstance {
    private static final long REPORT_INTERVAL_MILLIS = 300;

    /** Interval of the reports to control instances that are not the leader. */
    private static final long FOLLOWER_REPORT_INTERVAL_MILLIS = 1_200;

    /** Interval at which tokens received from other holders are sent on to the home instances. */
    private static final long SURPLUS_INTERVAL_MILLIS = 250;

    /** With more entry instances than this each one reports half as often. */
    private static final int MAX_ENTRIES_AT_FULL_RATE = 24;

    /** A shortage is reported at once, but not sooner than this time after the last report. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 40;

    /** Unlisted control instances are removed after this time without an update from them. */
    private static final long UNLISTED_CONTROL_TIMEOUT_MILLIS = 10_000;

    /** Within this time restarted control instances elect a leader and send the first slices. */
    private static final long START_GRACE_MILLIS = 3_000;

    private static final ClockReading NO_PROMISE = new ClockReading("", 0, 0);

    /** Without an update from the leader for this time, the leader counts as unreachable. */
    private static final long LEADER_TIMEOUT_MILLIS = 1_500;

    private final String self;
    private List<String> seeds;
    private final Transport transport;
    private final TimerService timers;
    private final RandomSource random;
    private final FleetListener listener;
    private final SliceAccounts slices = new SliceAccounts();
    private final TokenTransfers tokenTransfers;
    private final Map<String, ControlInstanceState> controls = new LinkedHashMap<>();
    private final String dataCentre;
    private final WallClock wallClock;
    private ClockReading startedAt;
    private ClockReading promisedAt = NO_PROMISE;
    private String holder;

    /** Whether the log holds a lease of this incarnation; until then the marks always apply. */
    private boolean leaseCommitted;

    private String leader = "";
    private long lastLeaderUpdateMillis = Long.MIN_VALUE / 2;
    private final AppliedConfiguration configuration;
    private final EvacuationView evacuation = new EvacuationView();
    private int entryCount = 1;
    private String entryCountSource = "";
    private IntConsumer entryCountListener = count -> {};
    private int knownPeersHash;
    private long lastReportMillis;
    private long ticks;
    private boolean shortageReportScheduled;
    private boolean leaving;
    private boolean leaderKnown;
    private boolean grantsReceived;
    private final long processStartMillis;
    private final DirectoryFreshness directoryFreshness;

    /** What this instance knows about one control instance. */
    private static final class ControlInstanceState {
        long tableEpoch;
        long tableRevision;
        long lastUpdateMillis;
        long lastReportMillis;
    }

    /**
     * Creates an entry instance.
     *
     * @param startedAt clocks when this process started, after its predecessor at the same address
     *     had ended. The earlier they were read, the more often they prove that the predecessor
     *     ended within its lease.
     */
    public EntryInstance(
            String self,
            String dataCentre,
            List<String> seeds,
            Transport transport,
            TimerService timers,
            RandomSource random,
            WallClock wallClock,
            ClockReading startedAt,
            FleetListener listener) {
        this.dataCentre = dataCentre;
        this.wallClock = wallClock;
        this.self = self;
        this.seeds = List.of();
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
        this.configuration = new AppliedConfiguration(listener);
        this.holder = newHolder();
        this.startedAt = startedAt;
        this.processStartMillis = timers.nowMillis();
        this.directoryFreshness = new DirectoryFreshness(processStartMillis, listener);
        this.tokenTransfers =
                new TokenTransfers(
                        self, dataCentre, slices, transport, timers, random, listener::onSlices);
        setSeeds(seeds);
        timers.every(REPORT_INTERVAL_MILLIS, this::tick);
        timers.every(SURPLUS_INTERVAL_MILLIS, this::sendSurplus);
        timers.schedule(0, this::report);
    }

    /** Sets the control instances that always get reports, even when they are not listed. */
    public void setSeeds(List<String> addresses) {
        seeds = List.copyOf(addresses);
        for (String seed : seeds) {
            controls.computeIfAbsent(seed, c -> new ControlInstanceState());
        }
    }

    /** Returns the addresses of the control instances that get reports. */
    public List<String> controlAddresses() {
        return List.copyOf(controls.keySet());
    }

    private ClockReading readClock() {
        return new ClockReading(startedAt.bootId(), timers.nowMillis(), wallClock.wallMillis());
    }

    private String newHolder() {
        return self + '#' + Long.toHexString(random.nextLong());
    }

    /**
     * Returns the slices that this instance spends from. Each call updates whether the marks limit
     * them.
     */
    public SliceAccounts slices() {
        boolean isPromiseActive =
                timers.nowMillis() < promisedAt.monotonicMillis() + SliceLease.DURATION_MILLIS;
        slices.setLimitedToMarks(!leaseCommitted || isPromiseActive);
        return slices;
    }

    /** Returns the version of the configuration that this instance reports as its own. */
    public long configurationVersion() {
        return configuration.version();
    }

    /** Returns the highest version that a control instance has named as being in force. */
    public long newestVersion() {
        return configuration.newestVersion();
    }

    /** Returns the emptied data centres that this instance knows. */
    public EvacuationView evacuation() {
        return evacuation;
    }

    /** Returns the number of live entry instances in the last update, at least 1. */
    public int entryCount() {
        return entryCount;
    }

    /** Returns the control instance that named the number of entry instances; empty if none has. */
    public String entryCountSource() {
        return entryCountSource;
    }

    /** Sets the listener that gets the number of entry instances from each update of the leader. */
    public void setEntryCountListener(IntConsumer entryCountConsumer) {
        entryCountListener = entryCountConsumer;
    }

    /**
     * Returns whether this process has applied a configuration and learnt of a leader. It is false
     * while a newer configuration cannot be applied: other instances may be able to, and callers
     * are better served there.
     */
    public boolean isSynced() {
        return configuration.isApplied() && leaderKnown;
    }

    /**
     * Returns whether this process has started so recently that its first slices are still to come.
     * After a crash of all processes, callers reconnect before the control instances have a leader.
     */
    public boolean isStarting() {
        return !grantsReceived && timers.nowMillis() - processStartMillis < START_GRACE_MILLIS;
    }

    /** Returns whether this instance knows the upstreams as they are now. */
    public boolean isDirectoryCurrent() {
        return directoryFreshness.isCurrent(timers.nowMillis());
    }

    /** Returns whether the leader has sent an update recently. */
    public boolean isLeaderReachable() {
        return timers.nowMillis() - lastLeaderUpdateMillis < LEADER_TIMEOUT_MILLIS;
    }

    /**
     * Requests the tokens that are missing for a request. They are requested first from the
     * customer's home instance in this data centre, which reports the shortage to the leader, and
     * then from the home instances of the other data centres. The home instance itself asks them
     * only while the leader is unreachable.
     *
     * @return whether tokens may still arrive
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

    /** Requests tokens from the other instances, after the leader has not provided enough. */
    public void requestPeerTokens(String customer, long tokens) {
        tokenTransfers.request(holder, customer, tokens, false);
    }

    /** Returns all free tokens to the leader; call once no more tokens will be spent. */
    public void leave() {
        leaving = true;
        slices.returnAllFree();
        report();
    }

    /** Sends surplus tokens to the homes, where they add up to enough for a request. */
    private void sendSurplus() {
        // Updates whether the marks apply.
        slices();
        tokenTransfers.sendSurplusToHomes(holder, isLeaderReachable());
    }

    private void tick() {
        directoryFreshness.check(timers.nowMillis());
        ticks++;
        if (entryCount <= MAX_ENTRIES_AT_FULL_RATE || ticks % 2 == 0) {
            report();
        }
    }

    private void report() {
        shortageReportScheduled = false;
        lastReportMillis = timers.nowMillis();
        List<SliceStatus> statuses = slices().report(lastReportMillis);
        boolean canReportToLeader = controls.containsKey(leader) && isLeaderReachable();
        controls.forEach(
                (address, control) -> {
                    boolean includeSlices = address.equals(leader) || !canReportToLeader;
                    if (!includeSlices
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
                                    includeSlices ? promisedAt : NO_PROMISE,
                                    configuration.version(),
                                    control.tableEpoch,
                                    control.tableRevision,
                                    knownPeersHash,
                                    includeSlices ? statuses : List.of(),
                                    leaving,
                                    lastReportMillis));
                });
    }

    /** Handles a message from another instance. */
    public void handle(Message message) {
        if (message instanceof FleetUpdate update && update.holder().equals(holder)) {
            onUpdate(update);
        } else if (message instanceof TokenAsk ask) {
            boolean hasEnough = slices().canReserve(ask.customer(), ask.tokens());
            if (!hasEnough && isLeaderReachable() && tokenTransfers.isHome(ask.customer())) {
                reportShortage(ask.customer(), ask.tokens());
            }
            tokenTransfers.onTokenAsk(ask, holder);
        } else if (message instanceof TokenGive give) {
            tokenTransfers.onTokenGive(give, holder);
        }
    }

    private void onUpdate(FleetUpdate update) {
        long now = timers.nowMillis();
        directoryFreshness.check(now);
        if (update.retired()) {
            holder = newHolder();
            startedAt = readClock();
            promisedAt = NO_PROMISE;
            leaseCommitted = false;
            slices.startNewIncarnation();
            return;
        }
        ControlInstanceState control =
                controls.computeIfAbsent(update.from(), c -> new ControlInstanceState());
        control.lastUpdateMillis = now;
        updateControls(update.controls(), now);
        if (!update.leader().isEmpty()) {
            leader = update.leader();
            leaderKnown = true;
            entryCount = Math.max(1, update.entries());
            entryCountSource = update.from();
        }
        List<Peer> peers = update.peers();
        if (peers != null) {
            knownPeersHash = peers.hashCode();
            updatePeers(peers);
        }
        if (update.from().equals(update.leader())) {
            lastLeaderUpdateMillis = now;
            entryCountListener.accept(entryCount);
            promisedAt = readClock();
            leaseCommitted |= update.leaseKept();
        }
        // Before the configuration, since an instance without one serves nothing.
        evacuation.onUpdate(update.evacuationRevision(), update.emptied());
        // Before the upstreams, so that none of them can keep it from being applied.
        configuration.onVersion(update.version());
        byte[] document = update.document();
        if (document != null) {
            configuration.onDocument(new ConfigurationDocument(update.version(), document), now);
        }
        for (Heartbeat heartbeat : update.upstreams()) {
            listener.onUpstream(heartbeat);
        }
        if (control.tableEpoch != update.tableEpoch()) {
            control.tableEpoch = update.tableEpoch();
            control.tableRevision = 0;
        }
        boolean isComplete = update.tableSince() <= control.tableRevision;
        directoryFreshness.onUpdate(
                update.from(),
                update.from().equals(update.leader()),
                isComplete,
                controls.size(),
                update.answeredMillis(),
                now);
        if (isComplete) {
            // Otherwise an earlier update was lost, and the next report asks for its changes again.
            control.tableRevision = Math.max(control.tableRevision, update.tableRevision());
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
            controls.computeIfAbsent(address, c -> new ControlInstanceState());
        }
        Set<String> known = new HashSet<>(listed);
        known.addAll(seeds);
        List<String> expired = new ArrayList<>();
        controls.forEach(
                (address, control) -> {
                    if (!known.contains(address)
                            && now - control.lastUpdateMillis > UNLISTED_CONTROL_TIMEOUT_MILLIS) {
                        expired.add(address);
                    }
                });
        expired.forEach(controls::remove);
    }
}
