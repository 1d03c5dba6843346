package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;

/**
 * Resolves a claim whose outcome is unknown, as decided by an operator.
 *
 * @param ran whether the call ran
 */
public record ResolveClaim(String customer, String key, boolean ran, String operator, long atMillis)
        implements Command {}
