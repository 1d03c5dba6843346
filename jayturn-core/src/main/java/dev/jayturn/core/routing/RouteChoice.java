package dev.jayturn.core.routing;

import dev.jayturn.core.membership.Upstream;

/**
 * A routing decision.
 *
 * @param candidates number of upstreams that could have accepted the request
 * @param reason policy and load that led to the choice, for the log
 */
public record RouteChoice(Upstream upstream, int candidates, String reason) {}
