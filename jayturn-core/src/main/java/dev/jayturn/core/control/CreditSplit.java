package dev.jayturn.core.control;

import java.util.ArrayList;
import java.util.List;

/** Splits a credit among ledgers so that none of it waits in a central pool. */
final class CreditSplit {
    private CreditSplit() {}

    /** Returns equal shares for the ledgers; the first ones get what is left over. */
    static List<CreditShare> equalShares(long tokens, List<String> ledgers) {
        List<CreditShare> shares = new ArrayList<>();
        long each = tokens / ledgers.size();
        long rest = tokens % ledgers.size();
        for (String ledger : ledgers) {
            long extra = rest > 0 ? 1 : 0;
            rest -= extra;
            shares.add(new CreditShare(ledger, each + extra));
        }
        return shares;
    }
}
