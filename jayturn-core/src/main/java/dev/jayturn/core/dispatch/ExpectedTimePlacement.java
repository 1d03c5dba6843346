package dev.jayturn.core.dispatch;

import com.google.common.hash.Hashing;
import dev.jayturn.core.random.RandomSource;
import java.nio.charset.StandardCharsets;
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

    private final Location location;
    private final RandomSource random;

    public ExpectedTimePlacement(Location location, RandomSource random) {
        this.location = location;
        this.random = random;
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
        return lowestCost(profile, isOwnNetworkSuspect ? upstreams : reachable);
    }

    private @Nullable Choice lowestCost(RequestProfile profile, List<UpstreamLoad> upstreams) {
        String preferred = preferredId(profile, upstreams);
        Choice best = null;
        double bestCost = Double.MAX_VALUE;
        for (UpstreamLoad upstream : upstreams) {
            boolean isPreferred = upstream.heartbeat().id().equals(preferred);
            double millis = expectedMillis(profile, upstream, isPreferred);
            double jitter = 1 + MAX_JITTER * random.nextInt(JITTER_STEPS) / JITTER_STEPS;
            double cost = millis * jitter * (1 + FAILURE_FACTOR * upstream.failureRate());
            if (cost < bestCost) {
                bestCost = cost;
                best = new Choice(upstream, millis);
            }
        }
        return best;
    }

    private static double occupancy(UpstreamLoad upstream) {
        return (upstream.totalInFlight() + 1.0) / upstream.heartbeat().slots();
    }

    private double expectedMillis(
            RequestProfile profile, UpstreamLoad upstream, boolean isPreferred) {
        double roundTrip =
                location.isSameRegion(upstream.heartbeat().dataCentre()) ? 0 : CROSS_REGION_MILLIS;
        double occupancy = occupancy(upstream);
        if (profile.promptTokens() == 0) {
            double excess = Math.max(0, occupancy - FREE_OCCUPANCY);
            return roundTrip + upstream.requestMillis() * (1 + excess);
        }
        double cached = upstream.sentPrefixTokens(profile);
        if (isPreferred) {
            cached = Math.max(cached, ASSUMED_CACHED_SHARE * profile.sharedPrefixTokens());
        }
        double uncached = Math.max(0, profile.promptTokens() - cached);
        double uncachedPrefix = Math.max(0, profile.sharedPrefixTokens() - cached);
        double queuedTokens = upstream.totalWaitingTokens();
        double batchDelay =
                FULL_BATCH_DELAY_MILLIS * occupancy
                        + QUEUED_BATCH_DELAY_MILLIS * Math.max(0, occupancy - 1);
        return roundTrip
                + (uncached + PREFIX_REREAD_WEIGHT * uncachedPrefix + queuedTokens)
                        / upstream.promptTokensPerMilli()
                + batchDelay;
    }

    /** Returns the id of the upstream with the highest rendezvous hash; empty without a prefix. */
    private String preferredId(RequestProfile profile, List<UpstreamLoad> upstreams) {
        String affinity = profile.affinityKey();
        String preferred = "";
        long highest = Long.MIN_VALUE;
        if (affinity.isEmpty()) {
            return preferred;
        }
        for (UpstreamLoad upstream : upstreams) {
            String id = upstream.heartbeat().id();
            long weight =
                    Hashing.murmur3_128()
                            .newHasher()
                            .putString(affinity, StandardCharsets.UTF_8)
                            .putString(id, StandardCharsets.UTF_8)
                            .hash()
                            .asLong();
            if (weight > highest) {
                highest = weight;
                preferred = id;
            }
        }
        return preferred;
    }
}
