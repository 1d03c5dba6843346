package dev.jayturn.core.control;

import dev.jayturn.core.transport.Message;

/**
 * Reads a part of the control state from a leader that a quorum has confirmed.
 *
 * @param budget name of the budget to read; ignored for other parts
 * @param forwarded whether another control instance forwarded the message
 */
public record ControlRead(String queryId, String from, Part part, String budget, boolean forwarded)
        implements Message {
    /** The part of the control state to read. */
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
