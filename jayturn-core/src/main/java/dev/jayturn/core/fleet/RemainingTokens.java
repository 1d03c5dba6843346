package dev.jayturn.core.fleet;

import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.slice.SliceTable;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the tokens that remain of each budget. A budget that is believed to be spent refuses
 * its requests for good, so the estimate must not be too low after instances that had transferred
 * tokens to others have crashed.
 */
final class RemainingTokens {
    private RemainingTokens() {}

    /**
     * Returns the larger of two sums for each customer, since each may miss some tokens:
     *
     * <ul>
     *   <li>Prepaid tokens less those that holders reported as spent or that retired ones may have
     *       spent. Counts a token twice that a retired holder had transferred and its new holder
     *       has spent.
     *   <li>Unissued tokens and those that holders still have. Misses transfers on their way.
     * </ul>
     */
    static Map<String, Long> estimate(SliceTable table, Collection<EntryInstanceState> entries) {
        Map<String, Long> remaining = new HashMap<>();
        Map<String, Long> held = new HashMap<>();
        table.prepaid()
                .forEach(
                        (customer, prepaid) -> {
                            remaining.put(customer, prepaid - table.consumed(customer));
                            held.put(customer, table.unissued(customer));
                        });
        for (EntryInstanceState entry : entries) {
            if (table.isRetired(entry.holder)) {
                continue;
            }
            for (SliceStatus status : entry.sliceStatuses.values()) {
                String customer = status.customer();
                long outstanding = table.totals(entry.holder, customer).outstanding();
                long unspent = outstanding + status.netTransferred() - status.spent();
                remaining.merge(customer, -status.spent(), Long::sum);
                held.merge(customer, Math.max(0, unspent), Long::sum);
            }
        }
        held.forEach((customer, tokens) -> remaining.merge(customer, tokens, Math::max));
        return remaining;
    }
}
