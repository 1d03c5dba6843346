package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;
import java.util.List;

/**
 * Adds prepaid tokens to a budget. Idempotent: a repeated credit id adds nothing while the id is
 * remembered.
 *
 * @param shares the split of the tokens among the ledgers; empty until the leader proposes it
 */
public record Credit(
        String creditId,
        String budget,
        long tokens,
        List<CreditShare> shares,
        String operator,
        long atMillis)
        implements Command {}
