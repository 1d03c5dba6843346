package dev.jayturn.core.routing.policy;

import dev.jayturn.core.routing.Candidate;
import dev.jayturn.core.routing.RouteQuery;
import dev.jayturn.core.routing.RoutingPolicy;
import java.util.List;

/** Takes the candidates in turn; a baseline. */
public final class RoundRobin implements RoutingPolicy {
    private int nextIndex;

    @Override
    public Candidate choose(RouteQuery query, List<Candidate> candidates) {
        nextIndex = (nextIndex + 1) & Integer.MAX_VALUE;
        return candidates.get(nextIndex % candidates.size());
    }
}
