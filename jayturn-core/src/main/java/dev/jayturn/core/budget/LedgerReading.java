package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Answers {@link LedgerQuery}.
 *
 * @param spent tokens billed at this ledger
 * @param reserved tokens held for open intents
 * @param available tokens neither reserved nor spent
 * @param openIntents open intents of all budgets
 * @param bills newest first
 */
public record LedgerReading(
        String queryId,
        String ledger,
        long spent,
        long reserved,
        long available,
        int openIntents,
        List<Bill> bills)
        implements Message {

    static LedgerReading of(String ledger, LedgerState state, LedgerQuery query) {
        return new LedgerReading(
                query.queryId(),
                ledger,
                state.spent(query.budget()),
                state.reserved(query.budget()),
                state.available(query.budget()),
                state.openIntents().size(),
                newestBills(state, query));
    }

    private static List<Bill> newestBills(LedgerState state, LedgerQuery query) {
        List<Bill> found = new ArrayList<>();
        if (query.limit() == 0) {
            return found;
        }
        for (Bill bill : state.bills()) {
            if (query.customer().isEmpty() || bill.customer().equals(query.customer())) {
                found.add(bill);
            }
        }
        Collections.reverse(found);
        return new ArrayList<>(found.subList(0, Math.min(query.limit(), found.size())));
    }
}
