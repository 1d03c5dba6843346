package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;

/** Records the outcome of a claimed call. */
public record RecordOutcome(String customer, String key, String claimId, CallOutcome outcome)
        implements Command {}
