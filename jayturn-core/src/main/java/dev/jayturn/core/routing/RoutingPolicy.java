package dev.jayturn.core.routing;

import java.util.List;

/** Selects an upstream for a request from several candidates. */
public interface RoutingPolicy {
    /**
     * Returns the chosen candidate.
     *
     * @param candidates the candidates, ordered by id; never empty
     */
    Candidate choose(RouteQuery query, List<Candidate> candidates);
}
