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
 * Ravishankar 1998), unless its load exceeds a bound above the mean (Mirrokni et al. 2018); then
 * another policy chooses.
 */
public final class PrefixAffinity implements RoutingPolicy {
    private static final HashFunction HASH = Hashing.murmur3_128();

    /** Bound on load as a multiple of the mean. */
    private static final double MAX_LOAD_TO_MEAN_RATIO = 1.25;

    /** Load below which the bound does not apply. */
    private static final double MIN_LOAD_BOUND = 0.5;

    private final RoutingPolicy fallback;

    public PrefixAffinity(RoutingPolicy fallback) {
        this.fallback = fallback;
    }

    @Override
    public Candidate choose(RouteQuery query, List<Candidate> candidates) {
        Candidate preferred = candidates.get(0);
        long best = Long.MIN_VALUE;
        double sum = 0;
        for (Candidate candidate : candidates) {
            sum += candidate.load();
            long score = score(query.prefixHash(), candidate.upstream().id());
            if (score > best) {
                best = score;
                preferred = candidate;
            }
        }
        double bound = Math.max(MIN_LOAD_BOUND, MAX_LOAD_TO_MEAN_RATIO * sum / candidates.size());
        return preferred.load() <= bound ? preferred : fallback.choose(query, candidates);
    }

    private static long score(long prefixHash, String id) {
        return HASH.newHasher()
                .putLong(prefixHash)
                .putString(id, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
