package dev.jayturn.core.loadview;

import dev.jayturn.core.dispatch.LoadView;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reports the work of this instance to the holder of each round, and applies the sums that come
 * back. Answers the load of a fleet in which each instance sends an upstream only a small part of
 * its work, and would otherwise choose the same upstreams as all the others.
 */
public final class FleetLoads implements LoadView {
    private static final long INTERVAL_MILLIS = 100;

    /** With more groups than this a round takes longer, in proportion. */
    private static final long INTERVAL_MILLIS_OF_A_GROUP = 32;

    /** An instance without sums follows later than the others, never ahead of them. */
    private static final double INTERVAL_FACTOR_WITHOUT_SUM = 1.25;

    /** Sums older than this, or than some rounds, no longer count. */
    private static final long MIN_SUM_TIMEOUT_MILLIS = 700;

    private static final int SUM_TIMEOUT_ROUNDS = 4;

    /** Without requests for this time, an instance needs no view and reports nothing. */
    private static final long INTEREST_MILLIS = 5_000;

    private static final int KEPT_REPORTS = 4;

    /** No fleet gets here by counting; protects against overflow. */
    private static final long MAX_ROUND = 1L << 60;

    private final String self;
    private final UpstreamRegistry registry;
    private final Transport transport;
    private final TimerService timers;
    private final int minInstances;
    private final LoadHolder holder;
    private HolderChoice holders = new HolderChoice(List.of());
    private UpstreamGroups groups;
    private final Map<Integer, GroupView> views = new HashMap<>();
    private @Nullable Cancellable nextReport;
    private long round;
    private long alignedRound = -1;
    private long lastInterestMillis = Long.MIN_VALUE / 2;

    /** A report that was sent, kept to subtract it from the sum. */
    private record OwnReport(long round, long sentMillis, Map<Integer, Work> work) {}

    /** What is known of a group. */
    private static final class GroupView {
        final List<OwnReport> reports = new ArrayList<>();
        long appliedRound = -1;
        long asOfMillis;
        boolean known;

        @Nullable OwnReport report(long ofRound) {
            for (OwnReport report : reports) {
                if (report.round() == ofRound) {
                    return report;
                }
            }
            return null;
        }
    }

    /**
     * Creates a view that is inactive until there are enough instances.
     *
     * @param minInstances number of live instances from which on sums are used; 0 for never
     */
    public FleetLoads(
            String self,
            UpstreamRegistry registry,
            Transport transport,
            TimerService timers,
            int minInstances) {
        this.self = self;
        this.registry = registry;
        this.transport = transport;
        this.timers = timers;
        this.minInstances = minInstances;
        this.groups = UpstreamGroups.of(registry);
        this.holder = new LoadHolder(transport, timers, () -> groups);
    }

    /** Sets the link addresses of the live entry instances, this one included. */
    public void setPeers(List<String> addresses) {
        boolean wasShared = isShared();
        holders = new HolderChoice(addresses);
        if (isShared() && !wasShared) {
            scheduleReport(0);
        } else if (!isShared() && wasShared) {
            views.values().forEach(view -> view.known = false);
            clear(registry.all());
        }
    }

    /** Notes that this instance serves requests, so that it needs the view. */
    public void onWorkChanged() {
        lastInterestMillis = timers.nowMillis();
        if (isShared() && nextReport == null) {
            scheduleReport(0);
        }
    }

    @Override
    public boolean isShared() {
        return minInstances > 0 && holders.size() >= minInstances;
    }

    /** Returns what is known now. */
    public LoadViewStatus status() {
        long nowMillis = timers.nowMillis();
        int known = 0;
        long oldestMillis = 0;
        for (UpstreamLoad upstream : registry.all()) {
            long ageMillis = upstream.peerLoadAgeMillis(nowMillis);
            if (ageMillis != Long.MAX_VALUE) {
                known++;
                oldestMillis = Math.max(oldestMillis, ageMillis);
            }
        }
        return new LoadViewStatus(
                holders.size(), round, known, registry.all().size() - known, oldestMillis);
    }

    private void scheduleReport(long delayMillis) {
        Cancellable pending = nextReport;
        if (pending != null) {
            pending.cancel();
        }
        nextReport = timers.schedule(delayMillis, this::report);
    }

    private long intervalMillis() {
        return Math.max(INTERVAL_MILLIS, INTERVAL_MILLIS_OF_A_GROUP * groups.parts());
    }

    private void report() {
        nextReport = null;
        groups = UpstreamGroups.of(registry);
        long nowMillis = timers.nowMillis();
        expire(nowMillis);
        if (!isShared() || nowMillis - lastInterestMillis > INTEREST_MILLIS) {
            return;
        }
        for (int number = 0; number < groups.parts(); number++) {
            report(number, nowMillis);
        }
        round++;
        scheduleReport((long) (INTERVAL_FACTOR_WITHOUT_SUM * intervalMillis()));
    }

    private void report(int number, long nowMillis) {
        UpstreamGroups.Group group = groups.group(number);
        Map<Integer, Work> work = new HashMap<>();
        for (int i = 0; i < group.keys().length; i++) {
            UpstreamLoad upstream = group.upstreams().get(i);
            if (upstream.inFlight() > 0) {
                work.put(group.keys()[i], Work.of(upstream.inFlight(), upstream.waitingTokens()));
            }
        }
        GroupView view = views.computeIfAbsent(number, n -> new GroupView());
        view.reports.add(new OwnReport(round, nowMillis, work));
        if (view.reports.size() > KEPT_REPORTS) {
            view.reports.remove(0);
        }
        WorkReport report =
                new WorkReport(
                        self,
                        number,
                        groups.parts(),
                        round,
                        group.list(),
                        WorkCodec.encodeWithKeys(work));
        transport.send(holders.holder(number, round), report);
    }

    /** Handles a report or a sum; returns false for any other message. */
    public boolean handle(Message message) {
        if (message instanceof WorkReport report) {
            if (report.round() >= 0 && report.round() < MAX_ROUND) {
                holder.onReport(report, round - 1);
            }
            return true;
        }
        if (message instanceof WorkSum sum) {
            if (sum.round() >= 0 && sum.newest() >= 0 && sum.newest() < MAX_ROUND) {
                onSum(sum);
            }
            return true;
        }
        return false;
    }

    private void onSum(WorkSum sum) {
        align(sum);
        GroupView view = views.get(sum.group());
        if (!isShared() || view == null || sum.parts() != groups.parts()) {
            return;
        }
        OwnReport own = view.report(sum.round());
        boolean isCurrent = sum.newest() <= sum.round() + 1;
        UpstreamGroups.Group group = groups.group(sum.group());
        boolean isReadable = sum.list() == 0 || sum.list() == group.list();
        if (own == null || !isCurrent || !isReadable || sum.round() <= view.appliedRound) {
            return;
        }
        view.appliedRound = sum.round();
        view.asOfMillis = own.sentMillis();
        view.known = true;
        Map<Integer, Work> totals =
                sum.list() == 0
                        ? WorkCodec.decodeWithKeys(sum.work())
                        : WorkCodec.decodeInOrder(group.keys(), sum.work());
        for (int i = 0; i < group.keys().length; i++) {
            int key = group.keys()[i];
            Work others =
                    totals.getOrDefault(key, Work.NONE)
                            .minus(own.work().getOrDefault(key, Work.NONE));
            group.upstreams()
                    .get(i)
                    .setPeerLoad(others.requests(), others.waitingTokens(), own.sentMillis());
        }
    }

    /** Follows the round of the others, so that all report at about the same time. */
    private void align(WorkSum sum) {
        long newest = Math.max(sum.round(), sum.newest());
        if (newest >= round) {
            round = newest + 1;
        }
        boolean isLatest = sum.round() == round - 1 && sum.round() > alignedRound;
        if (isLatest && nextReport != null) {
            alignedRound = sum.round();
            scheduleReport(intervalMillis() - LoadHolder.WINDOW_MILLIS);
        }
    }

    private void expire(long nowMillis) {
        long timeoutMillis =
                Math.max(MIN_SUM_TIMEOUT_MILLIS, SUM_TIMEOUT_ROUNDS * intervalMillis());
        views.forEach(
                (number, view) -> {
                    if (view.known && nowMillis - view.asOfMillis > timeoutMillis) {
                        view.known = false;
                        if (number < groups.parts()) {
                            clear(groups.group(number).upstreams());
                        }
                    }
                });
    }

    private static void clear(Iterable<UpstreamLoad> upstreams) {
        upstreams.forEach(upstream -> upstream.setPeerLoad(0, 0, UpstreamLoad.UNKNOWN_TIME));
    }
}
