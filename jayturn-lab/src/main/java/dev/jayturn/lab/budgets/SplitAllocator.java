package dev.jayturn.lab.budgets;

/**
 * The two baselines. Without a grant share each data centre holds a fixed equal share of every
 * budget. With one, a data centre draws grants from a central pool in the first data centre
 * whenever it lacks tokens for a request.
 */
final class SplitAllocator implements Allocator {
    private final long[][] availableTokens =
            new long[DemandPlan.BUDGET_COUNT][DemandPlan.DATA_CENTRE_COUNT];
    private final long[] pooledTokens = new long[DemandPlan.BUDGET_COUNT];
    private final long[] minGrantTokens = new long[DemandPlan.BUDGET_COUNT];
    private boolean partitioned;
    private long messageCount;

    /** Creates an allocator; a grant share of 0 selects the fixed equal split. */
    SplitAllocator(DemandPlan plan, double grantShare) {
        for (int budget = 0; budget < DemandPlan.BUDGET_COUNT; budget++) {
            long credit = plan.creditOf(budget);
            minGrantTokens[budget] = (long) (credit * grantShare);
            if (grantShare > 0) {
                pooledTokens[budget] = credit;
                continue;
            }
            for (int dataCentre = 0; dataCentre < DemandPlan.DATA_CENTRE_COUNT; dataCentre++) {
                availableTokens[budget][dataCentre] = credit / DemandPlan.DATA_CENTRE_COUNT;
            }
        }
    }

    @Override
    public void reserve(long id, Arrival arrival, AdmissionCallback callback) {
        int budget = arrival.budget();
        int dataCentre = arrival.dataCentre();
        boolean reachable = !partitioned || dataCentre != DemandPlan.PARTITIONED_DATA_CENTRE;
        if (availableTokens[budget][dataCentre] < arrival.reservedTokens() && reachable) {
            messageCount += 2;
            long grant =
                    Math.min(
                            pooledTokens[budget],
                            Math.max(arrival.reservedTokens(), minGrantTokens[budget]));
            pooledTokens[budget] -= grant;
            availableTokens[budget][dataCentre] += grant;
        }
        boolean admitted = availableTokens[budget][dataCentre] >= arrival.reservedTokens();
        if (admitted) {
            availableTokens[budget][dataCentre] -= arrival.reservedTokens();
        }
        callback.onDecision(admitted);
    }

    @Override
    public void settle(long id, Arrival arrival) {
        availableTokens[arrival.budget()][arrival.dataCentre()] +=
                arrival.reservedTokens() - arrival.usedTokens();
    }

    @Override
    public void setPartitioned(boolean isPartitioned) {
        partitioned = isPartitioned;
    }

    @Override
    public long messageCount() {
        return messageCount;
    }
}
