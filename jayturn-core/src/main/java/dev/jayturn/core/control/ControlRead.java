package dev.jayturn.core.control;

import dev.jayturn.core.transport.Message;

/**
 * Asks the leader for a confirmed reading.
 *
 * @param budget a budget's name, for the part on budgets
 * @param forwarded whether another control instance passed it on
 */
public record ControlRead(String queryId, String from, Part part, String budget, boolean forwarded)
        implements Message {
    /** What is asked for. */
    public enum Part {
        RULES,
        HISTORY,
        BUDGET,
        CLAIMS
    }

    ControlRead asForwarded() {
        return new ControlRead(queryId, from, part, budget, true);
    }
}
