package dev.jayturn.core.routing;

import dev.jayturn.core.membership.Upstream;

/**
 * An upstream that can accept a request.
 *
 * @param load estimated number of its requests in flight, divided by its capacity
 */
public record Candidate(Upstream upstream, double load) {}
