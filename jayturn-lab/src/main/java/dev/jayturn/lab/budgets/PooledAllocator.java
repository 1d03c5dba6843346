package dev.jayturn.lab.budgets;

/**
 * Admits requests from a single pool that no partition affects. An allocator that knew the future
 * demand could admit the same requests.
 */
final class PooledAllocator implements Allocator {
    private final long[] availableTokens;

    PooledAllocator(DemandPlan plan) {
        availableTokens = new long[DemandPlan.BUDGET_COUNT];
        for (int budget = 0; budget < availableTokens.length; budget++) {
            availableTokens[budget] = plan.creditOf(budget);
        }
    }

    @Override
    public void reserve(long id, Arrival arrival, AdmissionCallback callback) {
        boolean admitted = availableTokens[arrival.budget()] >= arrival.reservedTokens();
        if (admitted) {
            availableTokens[arrival.budget()] -= arrival.reservedTokens();
        }
        callback.onDecision(admitted);
    }

    @Override
    public void settle(long id, Arrival arrival) {
        availableTokens[arrival.budget()] += arrival.reservedTokens() - arrival.usedTokens();
    }

    @Override
    public void setPartitioned(boolean partitioned) {
        // The pool stays reachable from every data centre.
    }

    @Override
    public long messageCount() {
        return 0;
    }
}
