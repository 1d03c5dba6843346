package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Answers {@link LedgerQuery}.
 *
 * @param spent tokens billed at this ledger
 * @param reserved tokens reserved for open intents
 * @param available tokens neither reserved nor spent
 * @param openIntents number of open intents of all budgets
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
        List<Bill> matching = new ArrayList<>();
        if (query.limit() == 0) {
            return matching;
        }
        for (Bill bill : state.bills()) {
            if (query.customer().isEmpty() || bill.customer().equals(query.customer())) {
                matching.add(bill);
            }
        }
        Collections.reverse(matching);
        return new ArrayList<>(matching.subList(0, Math.min(query.limit(), matching.size())));
    }
}
