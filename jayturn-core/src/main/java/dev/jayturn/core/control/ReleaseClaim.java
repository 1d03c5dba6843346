package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;

/** Releases a claim whose call did not run. */
public record ReleaseClaim(String customer, String key, String claimId) implements Command {}
