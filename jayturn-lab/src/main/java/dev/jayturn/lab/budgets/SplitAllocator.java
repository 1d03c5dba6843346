package dev.jayturn.lab.budgets;

/**
 * The two baselines. With no chunk each data centre holds a fixed equal share; with one, data
 * centres draw chunks from a central pool in the first data centre as they need them.
 */
final class SplitAllocator implements Allocator {
    private final long[][] availableTokens =
            new long[DemandPlan.BUDGET_COUNT][DemandPlan.DATA_CENTRE_COUNT];
    private final long[] pooledTokens = new long[DemandPlan.BUDGET_COUNT];
    private final long[] minGrantTokens = new long[DemandPlan.BUDGET_COUNT];
    private boolean partitioned;
    private long messageCount;

    SplitAllocator(DemandPlan plan, double chunkShare) {
        for (int budget = 0; budget < DemandPlan.BUDGET_COUNT; budget++) {
            long credit = plan.creditOf(budget);
            minGrantTokens[budget] = (long) (credit * chunkShare);
            if (chunkShare > 0) {
                pooledTokens[budget] = credit;
                continue;
            }
            for (int place = 0; place < DemandPlan.DATA_CENTRE_COUNT; place++) {
                availableTokens[budget][place] = credit / DemandPlan.DATA_CENTRE_COUNT;
            }
        }
    }

    @Override
    public void reserve(long id, Arrival arrival, AdmissionCallback answer) {
        int budget = arrival.budget();
        int place = arrival.dataCentre();
        boolean reachable = !partitioned || place != DemandPlan.PARTITIONED_DATA_CENTRE;
        if (availableTokens[budget][place] < arrival.reservedTokens() && reachable) {
            messageCount += 2;
            long grant =
                    Math.min(
                            pooledTokens[budget],
                            Math.max(arrival.reservedTokens(), minGrantTokens[budget]));
            pooledTokens[budget] -= grant;
            availableTokens[budget][place] += grant;
        }
        boolean admitted = availableTokens[budget][place] >= arrival.reservedTokens();
        if (admitted) {
            availableTokens[budget][place] -= arrival.reservedTokens();
        }
        answer.onDecision(admitted);
    }

    @Override
    public void settle(long id, Arrival arrival) {
        availableTokens[arrival.budget()][arrival.dataCentre()] +=
                arrival.reservedTokens() - arrival.usedTokens();
    }

    @Override
    public void setPartitioned(boolean nowBroken) {
        partitioned = nowBroken;
    }

    @Override
    public long messageCount() {
        return messageCount;
    }
}
