package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * Answers {@link GrantPull} with cumulative grants to the ledger.
 *
 * @param index control log index up to which the totals are complete
 * @param round the round of the {@link GrantPull}
 */
public record GrantTotals(long index, List<GrantTotal> totals, long round) implements Message {
    /** Maximum number of totals in one message; a full message means that more may follow. */
    public static final int MAX_TOTALS = 2_000;
}
