package dev.jayturn.core.request;

import dev.jayturn.core.rules.Principal;

/**
 * What a call asks for.
 *
 * @param requestId the id that the caller knows
 * @param service the upstream service
 * @param model the model; empty for a plain service
 * @param policy how an upstream is chosen
 * @param prefixHash hash of the prompt's start
 * @param reserve most tokens that the call can cost
 * @param key the caller's idempotency key; empty if none
 * @param fingerprint hash of the request
 * @param repeatable whether the call is idempotent
 * @param timeoutMillis time for the whole answer
 */
public record CallSpec(
        String requestId,
        Principal principal,
        String service,
        String model,
        String policy,
        long prefixHash,
        long reserve,
        String key,
        String fingerprint,
        boolean repeatable,
        long timeoutMillis) {}
