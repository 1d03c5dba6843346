package dev.jayturn.lab.budgets;

/** One pool without any cut: what an allocator that knows the future could serve. */
final class PooledAllocator implements Allocator {
    private final long[] availableTokens;

    PooledAllocator(DemandPlan plan) {
        availableTokens = new long[DemandPlan.BUDGET_COUNT];
        for (int budget = 0; budget < availableTokens.length; budget++) {
            availableTokens[budget] = plan.creditOf(budget);
        }
    }

    @Override
    public void reserve(long id, Arrival arrival, AdmissionCallback answer) {
        boolean admitted = availableTokens[arrival.budget()] >= arrival.reservedTokens();
        if (admitted) {
            availableTokens[arrival.budget()] -= arrival.reservedTokens();
        }
        answer.onDecision(admitted);
    }

    @Override
    public void settle(long id, Arrival arrival) {
        availableTokens[arrival.budget()] += arrival.reservedTokens() - arrival.usedTokens();
    }

    @Override
    public void setPartitioned(boolean broken) {
        // The pool is everywhere.
    }

    @Override
    public long messageCount() {
        return 0;
    }
}
