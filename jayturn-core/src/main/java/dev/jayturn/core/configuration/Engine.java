package dev.jayturn.core.configuration;

/**
 * What is known of a service whose upstreams are model engines.
 *
 * @param slots requests that one engine batches
 * @param cacheTokens tokens that fit into one engine's KV cache
 * @param eventTokens most tokens that one event of a stream holds
 */
public record Engine(int slots, long cacheTokens, int eventTokens) {}
