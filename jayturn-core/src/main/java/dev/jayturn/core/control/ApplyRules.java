package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.rules.RuleDelta;

/**
 * Creates a new version of the rules if the expected version is in force.
 *
 * @param fingerprint hash of the change, to tell a repeat from another change under the same id
 */
public record ApplyRules(
        String changeId,
        int fingerprint,
        long expectedVersion,
        RuleDelta delta,
        String operator,
        long atMillis)
        implements Command {}
