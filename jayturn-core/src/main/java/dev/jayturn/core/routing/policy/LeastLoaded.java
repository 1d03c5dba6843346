package dev.jayturn.core.routing.policy;

import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.routing.Candidate;
import dev.jayturn.core.routing.RouteQuery;
import dev.jayturn.core.routing.RoutingPolicy;
import java.util.List;

/**
 * Selects the less loaded of two random candidates ("power of two choices", Mitzenmacher 2001), so
 * that instances with the same outdated load report do not all choose the same upstream.
 */
public final class LeastLoaded implements RoutingPolicy {
    private final RandomSource random;

    public LeastLoaded(RandomSource random) {
        this.random = random;
    }

    @Override
    public Candidate choose(RouteQuery query, List<Candidate> candidates) {
        Candidate first = candidates.get(random.nextInt(candidates.size()));
        Candidate second = candidates.get(random.nextInt(candidates.size()));
        return first.load() <= second.load() ? first : second;
    }
}
