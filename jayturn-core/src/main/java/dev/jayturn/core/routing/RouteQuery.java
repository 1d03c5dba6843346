package dev.jayturn.core.routing;

import java.util.Set;

/**
 * The parameters of a request that determine its upstream.
 *
 * @param model the model; empty for a plain service
 * @param prefixHash hash of the start of the prompt; equal for prompts with the same prefix
 * @param excluded ids of upstreams at which this request already failed
 */
public record RouteQuery(
        String requestId,
        String service,
        String model,
        String policy,
        long prefixHash,
        Set<String> excluded) {}
