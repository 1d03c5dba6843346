package dev.jayturn.core.control;

import dev.jayturn.core.budget.KeyedBill;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The intent that each keyed call was billed for first; the oldest are forgotten. */
final class BilledKeys {
    private static final int MAX_KEYS = 1_000_000;

    private final Map<String, KeyedBill> firstBills = new LinkedHashMap<>();

    BillComparison compare(List<KeyedBill> bills) {
        List<String> repeated = new ArrayList<>();
        for (KeyedBill bill : bills) {
            KeyedBill before = firstBills.putIfAbsent(bill.key(), bill);
            if (before != null && !before.intentId().equals(bill.intentId())) {
                repeated.add(bill.intentId());
            }
        }
        while (firstBills.size() > MAX_KEYS) {
            firstBills.remove(firstBills.keySet().iterator().next());
        }
        return new BillComparison(repeated);
    }

    Collection<KeyedBill> all() {
        return firstBills.values();
    }

    void clear() {
        firstBills.clear();
    }
}
