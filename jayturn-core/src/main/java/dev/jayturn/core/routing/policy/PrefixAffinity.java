package dev.jayturn.core.routing.policy;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import dev.jayturn.core.routing.Candidate;
import dev.jayturn.core.routing.RouteQuery;
import dev.jayturn.core.routing.RoutingPolicy;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Sends calls with the same prefix to the same upstream by rendezvous hashing (Thaler and
 * Ravishankar 1998). If the load of that upstream exceeds a multiple of the mean load (Mirrokni et
 * al. 2018), the fallback policy selects an upstream instead.
 */
public final class PrefixAffinity implements RoutingPolicy {
    private static final HashFunction HASH = Hashing.murmur3_128();

    /** Upper bound of the load, as a multiple of the mean load of the candidates. */
    private static final double MAX_LOAD_TO_MEAN_RATIO = 1.25;

    /** Load up to which the preferred upstream is used regardless of the mean. */
    private static final double MIN_LOAD_BOUND = 0.5;

    private final RoutingPolicy fallback;

    public PrefixAffinity(RoutingPolicy fallback) {
        this.fallback = fallback;
    }

    @Override
    public Candidate choose(RouteQuery query, List<Candidate> candidates) {
        Candidate preferred = candidates.get(0);
        long bestScore = Long.MIN_VALUE;
        double totalLoad = 0;
        for (Candidate candidate : candidates) {
            totalLoad += candidate.load();
            long score = score(query.prefixHash(), candidate.upstream().id());
            if (score > bestScore) {
                bestScore = score;
                preferred = candidate;
            }
        }
        double loadBound =
                Math.max(MIN_LOAD_BOUND, MAX_LOAD_TO_MEAN_RATIO * totalLoad / candidates.size());
        return preferred.load() <= loadBound ? preferred : fallback.choose(query, candidates);
    }

    private static long score(long prefixHash, String id) {
        return HASH.newHasher()
                .putLong(prefixHash)
                .putString(id, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
