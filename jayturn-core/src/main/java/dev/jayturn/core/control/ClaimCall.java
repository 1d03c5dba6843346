package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;

/** Claims the idempotency key of a call that must not run twice. */
public record ClaimCall(
        String customer,
        String key,
        String claimId,
        String fingerprint,
        String service,
        long atMillis)
        implements Command {}
