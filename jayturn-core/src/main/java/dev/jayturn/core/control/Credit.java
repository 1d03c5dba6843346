package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;
import java.util.List;

/** Adds prepaid tokens to a budget; a credit id counts once. */
public record Credit(
        String creditId,
        String budget,
        long tokens,
        List<CreditShare> shares,
        String operator,
        long atMillis)
        implements Command {}
