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
public final class FleetEntry {
    private static final long REPORT_MILLIS = 300;

    /** Time between reports to control instances that do not lead. */
    private static final long IDLE_REPORT_MILLIS = 1_200;

    /** Time between two returns of what requests left over, in milliseconds. */
    private static final long HOME_MILLIS = 250;

    /** With more entry instances than this each reports half as often. */
    private static final int MANY_ENTRIES = 24;

    /** A shortage is reported at once, but not more often than this. */
    private static final long URGENT_MILLIS = 40;

    /** Control instances that are not listed any more are forgotten after this time. */
    private static final long FORGET_MILLIS = 10_000;

    /** A restarted control leads and tells the entry instances of their slices in this time. */
    private static final long START_MILLIS = 3_000;

    private static final ClockReading NO_PROMISE = new ClockReading("", 0, 0);

    /** Without an update for so long the instance counts itself as cut off. */
    private static final long TOUCH_MILLIS = 1_500;

    private final String self;
    private List<String> seeds;
    private final Transport transport;
    private final TimerService timers;
    private final RandomSource random;
    private final FleetListener listener;
    private final SliceAccounts slices = new SliceAccounts();
    private final PeerTokens peerTokens;
    private final Map<String, Control> controls = new LinkedHashMap<>();
    private final String dataCentre;
    private final String boot;
    private final WallClock wallClock;
    private ClockReading started;
    private ClockReading promised = NO_PROMISE;
    private String holder;
    private boolean leaseKept;
    private String leader = "";
    private long leaderHeardMillis = Long.MIN_VALUE / 2;
    private long version;
    private int entries = 1;
    private int peersKnown;
    private long lastReportMillis;
    private long ticks;
    private boolean urgent;
    private boolean leaving;
    private boolean heardLeader;
    private boolean heardGrants;
    private final long startedMillis;

    private static final class Control {
        long epoch;
        long revision;
        long heardMillis;
        long reportedMillis;
    }

    public FleetEntry(
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
        this.boot = boot;
        this.self = self;
        this.seeds = List.of();
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
        this.holder = newHolder();
        this.started = clock();
        this.startedMillis = timers.nowMillis();
        this.peerTokens =
                new PeerTokens(
                        self, dataCentre, slices, transport, timers, random, listener::onSlices);
        setSeeds(seeds);
        timers.every(REPORT_MILLIS, this::tick);
        timers.every(HOME_MILLIS, this::sendHome);
        timers.schedule(0, this::report);
    }

    /** Sets the control instances that are always told of this one. */
    public void setSeeds(List<String> addresses) {
        seeds = List.copyOf(addresses);
        for (String seed : seeds) {
            controls.computeIfAbsent(seed, c -> new Control());
        }
    }

    private ClockReading clock() {
        return new ClockReading(boot, timers.nowMillis(), wallClock.wallMillis());
    }

    private String newHolder() {
        return self + '#' + Long.toHexString(random.nextLong());
    }

    /** Returns the slices that this instance spends from. */
    public SliceAccounts slices() {
        boolean promiseRuns =
                timers.nowMillis() < promised.monotonicMillis() + SliceLease.DURATION_MILLIS;
        slices.setLeased(!leaseKept || promiseRuns);
        return slices;
    }

    /** Returns the number of live entry instances that control last spoke of. */
    public int entries() {
        return entries;
    }

    /** Returns whether a configuration and a leader have been heard of in this life. */
    public boolean isSynced() {
        return version > 0 && heardLeader;
    }

    /**
     * Returns whether this life is so young that the configuration and the first slices are still
     * to come. When all processes died at once, callers are back before control has a leader.
     */
    public boolean isStarting() {
        return !heardGrants && timers.nowMillis() - startedMillis < START_MILLIS;
    }

    /** Returns whether the leader has been heard of lately. */
    public boolean isInTouch() {
        return timers.nowMillis() - leaderHeardMillis < TOUCH_MILLIS;
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
        if (isInTouch() && peerTokens.isHome(customer)) {
            reportShortage(customer, tokens);
            return true;
        }
        return peerTokens.request(holder, customer, tokens, isInTouch());
    }

    private void reportShortage(String customer, long tokens) {
        slices.recordShortage(customer, tokens);
        if (!urgent) {
            urgent = true;
            long wait = Math.max(0, lastReportMillis + URGENT_MILLIS - timers.nowMillis());
            timers.schedule(wait, this::report);
        }
    }

    /** Asks the other instances, after the leader has not helped. */
    public void requestPeerTokens(String customer, long tokens) {
        peerTokens.request(holder, customer, tokens, false);
    }

    /** Gives all free tokens back; call once nothing more will be spent. */
    public void leave() {
        leaving = true;
        slices.returnAllFree();
        report();
    }

    /** What requests left over would else lie about in parts too small for the next one. */
    private void sendHome() {
        slices();
        peerTokens.sendHome(holder, isInTouch());
    }

    private void tick() {
        ticks++;
        if (entries <= MANY_ENTRIES || ticks % 2 == 0) {
            report();
        }
    }

    private void report() {
        urgent = false;
        lastReportMillis = timers.nowMillis();
        List<SliceStatus> statuses = slices().report(lastReportMillis);
        boolean knowsLeader = controls.containsKey(leader) && isInTouch();
        controls.forEach(
                (address, control) -> {
                    boolean full = address.equals(leader) || !knowsLeader;
                    if (!full && lastReportMillis - control.reportedMillis < IDLE_REPORT_MILLIS) {
                        return;
                    }
                    control.reportedMillis = lastReportMillis;
                    transport.send(
                            address,
                            new EntryReport(
                                    self,
                                    dataCentre,
                                    holder,
                                    started,
                                    full ? promised : NO_PROMISE,
                                    version,
                                    control.epoch,
                                    control.revision,
                                    peersKnown,
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
            if (!enough && isInTouch() && peerTokens.isHome(ask.customer())) {
                reportShortage(ask.customer(), ask.tokens());
            }
            peerTokens.onAsk(ask, holder);
        } else if (message instanceof TokenGive give) {
            peerTokens.onGive(give, holder);
        }
    }

    private void onUpdate(FleetUpdate update) {
        long now = timers.nowMillis();
        if (update.retired()) {
            holder = newHolder();
            started = clock();
            promised = NO_PROMISE;
            leaseKept = false;
            slices.startNewIncarnation();
            return;
        }
        Control control = controls.computeIfAbsent(update.from(), c -> new Control());
        control.heardMillis = now;
        updateControls(update.controls(), now);
        if (!update.leader().isEmpty()) {
            leader = update.leader();
            heardLeader = true;
            entries = Math.max(1, update.entries());
        }
        List<Peer> peers = update.peers();
        if (peers != null) {
            peersKnown = peers.hashCode();
            updatePeers(peers);
        }
        if (update.from().equals(update.leader())) {
            leaderHeardMillis = now;
            promised = clock();
            leaseKept |= update.leaseKept();
        }
        for (Heartbeat heartbeat : update.upstreams()) {
            listener.onUpstream(heartbeat);
        }
        if (control.epoch != update.tableEpoch()) {
            control.epoch = update.tableEpoch();
            control.revision = 0;
        }
        if (update.tableSince() <= control.revision) {
            // Else a message before this one was lost, and its changes are asked for again.
            control.revision = Math.max(control.revision, update.tableRevision());
        }
        byte[] document = update.document();
        if (document != null && update.version() > version) {
            version = update.version();
            listener.onConfiguration(new ConfigurationDocument(version, document));
        }
        for (SliceGrant grant : update.grants()) {
            slices.applyGrant(grant, now);
        }
        if (!update.grants().isEmpty()) {
            heardGrants = true;
            listener.onSlices();
        }
    }

    private void updatePeers(List<Peer> peers) {
        peerTokens.setPeers(peers);
        listener.onPeers(peers);
    }

    private void updateControls(List<String> listed, long now) {
        if (listed.isEmpty()) {
            return;
        }
        for (String address : listed) {
            controls.computeIfAbsent(address, c -> new Control());
        }
        Set<String> known = new HashSet<>(listed);
        known.addAll(seeds);
        List<String> old = new ArrayList<>();
        controls.forEach(
                (address, control) -> {
                    if (!known.contains(address) && now - control.heardMillis > FORGET_MILLIS) {
                        old.add(address);
                    }
                });
        old.forEach(controls::remove);
    }
}
