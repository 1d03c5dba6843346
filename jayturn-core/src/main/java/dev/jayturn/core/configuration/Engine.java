package dev.jayturn.core.configuration;

/**
 * What is known of a service whose upstreams are model engines.
 *
 * @param slots requests that one engine batches
 * @param kvCacheTokens tokens that fit into one engine's KV cache
 * @param maxTokensPerEvent most tokens that one event of a stream holds
 */
public record Engine(int slots, long kvCacheTokens, int maxTokensPerEvent) {}
