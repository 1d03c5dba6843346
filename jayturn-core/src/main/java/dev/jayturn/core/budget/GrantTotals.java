package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;
import java.util.List;

/** Cumulative grants of the control log to one ledger, up to a log index. */
public record GrantTotals(long index, List<GrantTotal> totals, long round) implements Message {
    /** Most totals in one message. */
    public static final int MAX_TOTALS = 2_000;
}
