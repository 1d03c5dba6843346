package dev.jayturn.core.request;

import dev.jayturn.core.rules.Principal;

/**
 * Parameters of a call.
 *
 * @param requestId id of the request as the caller knows it
 * @param principal customer and budget of the caller, with their limits
 * @param service the upstream service
 * @param model the model; empty for a plain service
 * @param policy name of the routing policy
 * @param prefixHash hash of the start of the prompt, for prefix affinity
 * @param reserve tokens to reserve: the most that the call can cost
 * @param key the caller's idempotency key; empty if none
 * @param fingerprint hash of the request, which tells apart different requests with the same key
 * @param repeatable whether the call is idempotent and may be sent to an upstream more than once
 * @param timeoutMillis timeout for the complete answer
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
