package dev.jayturn.core.dispatch;

import dev.jayturn.core.random.RandomSource;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Places a request at the upstream where the first event of its answer stream is expected soonest:
 * the time to read the prompt tokens that are not cached there (prefill), plus the queued work,
 * plus the network round trip.
 *
 * <p>Designed for sessions that share long prefixes, a single prefix with most of the load, and
 * many instances that choose at the same time. Without communication the instances agree on a
 * preferred upstream for each prefix (rendezvous hashing, Thaler and Ravishankar 1998) and use
 * another one as soon as waiting at the preferred one costs more than reading the prefix elsewhere.
 *
 * <p>If the work of the other instances is known from sums, which are of an earlier time, a prefix
 * is preferred at as many upstreams as its share of the load fills, and the choice spreads what the
 * sums do not show yet.
 */
public final class ExpectedTimePlacement implements PlacementPolicy {
    /** Time charged for the round trip to another region. */
    private static final double CROSS_REGION_MILLIS = 60;

    /** Weight of reading a shared prefix again, which delays later requests, too. */
    private static final double PREFIX_REREAD_WEIGHT = 2.5;

    /**
     * Share of a shared prefix that the preferred upstream is assumed to have cached, even if this
     * instance has not sent the prefix there.
     */
    private static final double ASSUMED_CACHED_SHARE = 0.8;

    /** Delay of the first event by a full batch, when all slots of the upstream are occupied. */
    private static final double FULL_BATCH_DELAY_MILLIS = 40;

    /** Delay of the first event by each further batch in the queue. */
    private static final double QUEUED_BATCH_DELAY_MILLIS = 400;

    /** Occupancy up to which a plain service starts requests without delay. */
    private static final double FREE_OCCUPANCY = 0.5;

    /** Relative increase of the cost of an upstream at which every request fails. */
    private static final double FAILURE_FACTOR = 12;

    /** Suspensions are respected while at least this share of the upstreams is not suspended. */
    private static final double MIN_REACHABLE_SHARE = 0.4;

    /** Largest random increase of the cost, as a share of it. */
    private static final double MAX_JITTER = 0.06;

    private static final int JITTER_STEPS = 1_000;

    /** Upstreams at which a prefix is preferred, for each one that its share of the load fills. */
    private static final double PREFERRED_UPSTREAMS_FACTOR = 2;

    /** The same while no upstream has a queue: reading a prefix once more then delays nobody. */
    private static final double MAX_PREFERRED_UPSTREAMS_FACTOR = 3;

    /** Mean waiting time at which half of the additional upstreams are left. */
    private static final double HALF_PREFERRED_QUEUE_MILLIS = 50;

    /**
     * Mean waiting time at the upstreams that adds one to the weight of reading a prefix again: it
     * delays all that wait behind it, so it costs most when there is no room left.
     */
    private static final double QUEUE_MILLIS_OF_A_WEIGHT = 10;

    /** Share of the time since the sums in which upstreams got work that the sums do not show. */
    private static final double UNSEEN_WORK_RATE = 0.4;

    /**
     * Weight of work that the sums do not show yet in the cost of another region: instances there
     * see it sooner, and fill their upstreams themselves.
     */
    private static final double FAR_UNSEEN_WEIGHT = 3;

    /** Sums older than this say no less. */
    private static final long MAX_AGE_MILLIS = 600;

    private final Location location;
    private final RandomSource random;
    private final PrefixShares prefixShares = new PrefixShares();
    private LoadView view = LoadView.DIRECT;

    public ExpectedTimePlacement(Location location, RandomSource random) {
        this.location = location;
        this.random = random;
    }

    /** Sets how the work of the other instances is known. */
    public void setLoadView(LoadView loadView) {
        view = loadView;
    }

    @Override
    public @Nullable Choice choose(
            RequestProfile profile, List<UpstreamLoad> upstreams, long nowMillis) {
        List<UpstreamLoad> reachable = new ArrayList<>();
        for (UpstreamLoad upstream : upstreams) {
            if (!upstream.isSuspended(nowMillis)) {
                reachable.add(upstream);
            }
        }
        // If most upstreams are unreachable, this instance's own network has probably failed.
        boolean isOwnNetworkSuspect = reachable.size() < MIN_REACHABLE_SHARE * upstreams.size();
        List<UpstreamLoad> candidates = isOwnNetworkSuspect ? upstreams : reachable;
        return view.isShared() && !candidates.isEmpty() && profile.promptTokens() > 0
                ? spread(profile, candidates, nowMillis)
                : lowestCost(profile, candidates);
    }

    private @Nullable Choice lowestCost(RequestProfile profile, List<UpstreamLoad> upstreams) {
        PrefixRanks ranks = new PrefixRanks(profile.affinityKey(), upstreams);
        Choice best = null;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < upstreams.size(); i++) {
            UpstreamLoad upstream = upstreams.get(i);
            boolean isPreferred = ranks.hasPrefix() && ranks.rank(i) == 0;
            double millis =
                    expectedMillis(
                            profile,
                            upstream,
                            isPreferred ? ASSUMED_CACHED_SHARE : 0,
                            PREFIX_REREAD_WEIGHT,
                            queueMillis(upstream));
            double cost = cost(upstream, millis);
            if (cost < bestCost) {
                bestCost = cost;
                best = new Choice(upstream, millis);
            }
        }
        return best;
    }

    private double cost(UpstreamLoad upstream, double expectedMillis) {
        double jitter = 1 + MAX_JITTER * random.nextInt(JITTER_STEPS) / JITTER_STEPS;
        return expectedMillis * jitter * (1 + FAILURE_FACTOR * upstream.failureRate());
    }

    /**
     * Chooses by sums of an earlier time; see {@link UnseenWork}. Each region has its own order of
     * upstreams for a prefix, so that work stays near.
     */
    private Choice spread(RequestProfile profile, List<UpstreamLoad> upstreams, long nowMillis) {
        double[] queues = new double[upstreams.size()];
        List<UpstreamLoad> near = new ArrayList<>();
        List<UpstreamLoad> far = new ArrayList<>();
        double unseenMillis = 0;
        double queueSum = 0;
        for (int i = 0; i < queues.length; i++) {
            UpstreamLoad upstream = upstreams.get(i);
            (isNear(upstream) ? near : far).add(upstream);
            queues[i] = upstream.waitingTokens() / upstream.promptTokensPerMilli();
            long age = upstream.peerLoadAgeMillis(nowMillis);
            if (age != Long.MAX_VALUE) {
                // What waited when the sums were made has been read since.
                queues[i] = Math.max(queues[i], queueMillis(upstream) - age);
                unseenMillis += UNSEEN_WORK_RATE * Math.min(MAX_AGE_MILLIS, age);
            }
            queueSum += queues[i];
        }
        double unseenMean = unseenMillis / queues.length;
        double queueMean = queueSum / queues.length;
        double preferredShare = preferredShare(profile, queueMean, nowMillis);
        PrefixRanks nearRanks = new PrefixRanks(profile.affinityKey(), near);
        PrefixRanks farRanks = new PrefixRanks(profile.affinityKey(), far);
        int nearCount = 0;
        double rereadWeight = PREFIX_REREAD_WEIGHT + queueMean / QUEUE_MILLIS_OF_A_WEIGHT;
        double[] millis = new double[queues.length];
        double[] costs = new double[queues.length];
        for (int i = 0; i < costs.length; i++) {
            UpstreamLoad upstream = upstreams.get(i);
            boolean isNear = isNear(upstream);
            double cachedShare =
                    isNear
                            ? cachedShare(nearRanks, nearCount++, preferredShare * near.size())
                            : cachedShare(farRanks, i - nearCount, preferredShare * far.size());
            millis[i] = expectedMillis(profile, upstream, cachedShare, rereadWeight, queues[i]);
            costs[i] = cost(upstream, millis[i]) + (isNear ? 0 : FAR_UNSEEN_WEIGHT * unseenMean);
        }
        int chosen = UnseenWork.choose(costs, unseenMillis, random);
        return new Choice(upstreams.get(chosen), millis[chosen]);
    }

    /** Returns the share of a region's upstreams at which the prefix of a request is preferred. */
    private double preferredShare(RequestProfile profile, double queueMean, long nowMillis) {
        double additional = MAX_PREFERRED_UPSTREAMS_FACTOR - PREFERRED_UPSTREAMS_FACTOR;
        double factor =
                PREFERRED_UPSTREAMS_FACTOR
                        + additional / (1 + queueMean / HALF_PREFERRED_QUEUE_MILLIS);
        String affinity = profile.affinityKey();
        return affinity.isEmpty()
                ? 0
                : factor * prefixShares.add(affinity, profile.promptTokens(), nowMillis);
    }

    /**
     * Returns the share of a prefix that is assumed to be cached at an upstream: all of it where it
     * is preferred, and less further down, so that what leaves those goes to a few others.
     */
    private static double cachedShare(PrefixRanks ranks, int upstream, double preferred) {
        if (!ranks.hasPrefix()) {
            return 0;
        }
        double share = Math.min(1, Math.max(1, preferred) / (ranks.rank(upstream) + 1));
        return share * share;
    }

    private static double queueMillis(UpstreamLoad upstream) {
        return upstream.totalWaitingTokens() / upstream.promptTokensPerMilli();
    }

    private boolean isNear(UpstreamLoad upstream) {
        return location.isSameRegion(upstream.heartbeat().dataCentre());
    }

    private static double occupancy(UpstreamLoad upstream, int inFlight) {
        return (inFlight + 1.0) / upstream.heartbeat().slots();
    }

    private double expectedMillis(
            RequestProfile profile,
            UpstreamLoad upstream,
            double assumedCachedShare,
            double rereadWeight,
            double queueMillis) {
        double roundTrip =
                location.isSameRegion(upstream.heartbeat().dataCentre()) ? 0 : CROSS_REGION_MILLIS;
        if (profile.promptTokens() == 0) {
            // Requests to plain services end sooner than a sum of them arrives.
            int known = view.isShared() ? upstream.inFlight() : upstream.totalInFlight();
            double excess = Math.max(0, occupancy(upstream, known) - FREE_OCCUPANCY);
            return roundTrip + upstream.requestMillis() * (1 + excess);
        }
        double cached =
                Math.max(
                        upstream.sentPrefixTokens(profile),
                        assumedCachedShare * profile.sharedPrefixTokens());
        double uncached = Math.max(0, profile.promptTokens() - cached);
        double uncachedPrefix = Math.max(0, profile.sharedPrefixTokens() - cached);
        double occupancy = occupancy(upstream, upstream.totalInFlight());
        double batchDelay =
                FULL_BATCH_DELAY_MILLIS * occupancy
                        + QUEUED_BATCH_DELAY_MILLIS * Math.max(0, occupancy - 1);
        return roundTrip
                + (uncached + rereadWeight * uncachedPrefix) / upstream.promptTokensPerMilli()
                + queueMillis
                + batchDelay;
    }
}
