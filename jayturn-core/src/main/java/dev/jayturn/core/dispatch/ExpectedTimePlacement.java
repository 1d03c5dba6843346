package dev.jayturn.core.dispatch;

import com.google.common.hash.Hashing;
import dev.jayturn.core.random.RandomSource;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Places a request where its first event is expected soonest: time to read what is not cached, plus
 * the work that waits there, plus the way. The pattern answered: sessions share long prefixes, one
 * prefix turns hot, and many instances choose at once. Instances agree without talking on a first
 * choice for each prefix (rendezvous hashing, Thaler and Ravishankar 1998) and leave it as soon as
 * waiting there costs more than reading the prefix elsewhere.
 */
public final class ExpectedTimePlacement implements PlacementPolicy {
    /** Round trip to another region that is charged, in milliseconds. */
    private static final double CROSS_REGION_MILLIS = 60;

    /** Weight of reading a shared prefix again: it delays whoever comes after, too. */
    private static final double PREFIX_REREAD_WEIGHT = 2.5;

    /** Share of a shared prefix that the first choice is believed to hold unseen. */
    private static final double ASSUMED_CACHED_SHARE = 0.8;

    /** Delay of the first event in a full batch, in milliseconds. */
    private static final double FULL_BATCH_DELAY_MILLIS = 40;

    /** Delay for each further batch that waits, in milliseconds. */
    private static final double QUEUED_BATCH_DELAY_MILLIS = 400;

    /** Occupancy up to which a plain service starts at once. */
    private static final double FREE_OCCUPANCY = 0.5;

    /** Factor on the expected time for an upstream all of whose requests fail. */
    private static final double FAILURE_FACTOR = 12;

    /** Suspensions count while at least this share of the upstreams is not suspended. */
    private static final double MIN_REACHABLE_SHARE = 0.4;

    private static final double MAX_JITTER = 0.06;
    private static final int JITTER_STEPS = 1_000;

    private final Location location;
    private final RandomSource random;

    public ExpectedTimePlacement(Location place, RandomSource random) {
        this.location = place;
        this.random = random;
    }

    @Override
    public @Nullable Choice choose(
            RequestProfile work, List<UpstreamLoad> upstreams, long nowMillis) {
        List<UpstreamLoad> reachable = new ArrayList<>();
        for (UpstreamLoad upstream : upstreams) {
            if (!upstream.isSuspended(nowMillis)) {
                reachable.add(upstream);
            }
        }
        // When most cannot be reached at once, it is this instance's own network that fails.
        boolean ownTrouble = reachable.size() < MIN_REACHABLE_SHARE * upstreams.size();
        return lowestCost(work, ownTrouble ? upstreams : reachable);
    }

    private @Nullable Choice lowestCost(RequestProfile work, List<UpstreamLoad> upstreams) {
        String first = preferredId(work, upstreams);
        Choice best = null;
        double bestCost = Double.MAX_VALUE;
        for (UpstreamLoad upstream : upstreams) {
            boolean believed = upstream.heartbeat().id().equals(first);
            double millis = expectedMillis(work, upstream, believed);
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

    private double expectedMillis(RequestProfile work, UpstreamLoad upstream, boolean believed) {
        double way =
                location.isSameRegion(upstream.heartbeat().dataCentre()) ? 0 : CROSS_REGION_MILLIS;
        double occupancy = occupancy(upstream);
        if (work.promptTokens() == 0) {
            double turns = Math.max(0, occupancy - FREE_OCCUPANCY);
            return way + upstream.requestMillis() * (1 + turns);
        }
        double held = upstream.sentPrefixTokens(work);
        if (believed) {
            held = Math.max(held, ASSUMED_CACHED_SHARE * work.sharedPrefixTokens());
        }
        double unread = Math.max(0, work.promptTokens() - held);
        double again = Math.max(0, work.sharedPrefixTokens() - held);
        double queued = upstream.totalWaitingTokens();
        double crowding =
                FULL_BATCH_DELAY_MILLIS * occupancy
                        + QUEUED_BATCH_DELAY_MILLIS * Math.max(0, occupancy - 1);
        return way
                + (unread + PREFIX_REREAD_WEIGHT * again + queued) / upstream.promptTokensPerMilli()
                + crowding;
    }

    /** Returns the id that comes first in rendezvous order. */
    private String preferredId(RequestProfile work, List<UpstreamLoad> upstreams) {
        String affinity = work.affinityKey();
        String first = "";
        long highest = Long.MIN_VALUE;
        if (affinity.isEmpty()) {
            return first;
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
                first = id;
            }
        }
        return first;
    }
}
