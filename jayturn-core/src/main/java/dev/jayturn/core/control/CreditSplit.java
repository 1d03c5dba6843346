package dev.jayturn.core.control;

import java.util.ArrayList;
import java.util.List;

/** Splits a credit among the ledgers, so that no tokens are held in a central pool. */
final class CreditSplit {
    private CreditSplit() {}

    /** Returns equal shares; the first ledgers get one token more if there is a remainder. */
    static List<CreditShare> equalShares(long tokens, List<String> ledgers) {
        List<CreditShare> shares = new ArrayList<>();
        long equalTokens = tokens / ledgers.size();
        long remainder = tokens % ledgers.size();
        for (String ledger : ledgers) {
            long extra = remainder > 0 ? 1 : 0;
            remainder -= extra;
            shares.add(new CreditShare(ledger, equalTokens + extra));
        }
        return shares;
    }
}
