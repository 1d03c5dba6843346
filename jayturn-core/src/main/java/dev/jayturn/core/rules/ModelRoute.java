package dev.jayturn.core.rules;

/**
 * The upstream service, routing policy and limits for calls to a model.
 *
 * @param maxTokens maximum output tokens of a call that sets no limit itself
 * @param policy the name of the policy that chooses an upstream; see {@code Router}
 * @param timeoutMillis timeout for the complete answer
 */
public record ModelRoute(
        String model, String service, long maxTokens, String policy, long timeoutMillis) {}
