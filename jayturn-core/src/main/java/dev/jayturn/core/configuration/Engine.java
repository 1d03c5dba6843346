package dev.jayturn.core.configuration;

/**
 * Properties of the model engines behind a service.
 *
 * @param slots requests that one engine processes in a batch
 * @param kvCacheTokens tokens that fit into one engine's KV cache
 * @param maxTokensPerEvent maximum number of tokens in one event of a stream
 */
public record Engine(int slots, long kvCacheTokens, int maxTokensPerEvent) {}
