package dev.jayturn.lab.budgets;

import dev.jayturn.core.virtual.VirtualTime;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * Compares the product's ledgers with two baselines while one data centre is partitioned for an
 * hour. A refusal is false if a single pool without the partition would have admitted the request.
 * An allocator that knew the future demand could have admitted it too, by splitting the budget to
 * fit at the start of the partition.
 */
public final class BudgetExperiment {
    /** Smallest grant of the lazy baseline, as a share of the budget's credit. */
    private static final double LAZY_GRANT_SHARE = 0.01;

    private static final int TENTH_DIVISOR = 10;

    /** Time after the last arrival in which admitted requests settle. */
    private static final long DRAIN_MILLIS = 10_000;

    private final DemandShape shape;
    private final long seed;

    public BudgetExperiment(DemandShape shape, long seed) {
        this.shape = shape;
        this.seed = seed;
    }

    /**
     * The measurements of one allocator.
     *
     * @param refusals requests that were refused
     * @param falseRefusals refused requests that the single pool admitted
     * @param falseRefusalsWithTenthLeft false refusals while at least a tenth of the budget's
     *     credit was unused
     * @param overspentTokens tokens used beyond the credits of their budgets
     */
    public record Result(
            String name,
            long requests,
            long refusals,
            long falseRefusals,
            long falseRefusalsWithTenthLeft,
            long overspentTokens,
            long messageCount) {
        /** Returns the share of all requests that were refused falsely. */
        public double falseRefusalRate() {
            return (double) falseRefusals / requests;
        }
    }

    /** Runs the ledgers and both baselines; the result of the ledgers comes first. */
    public List<Result> run() {
        DemandPlan plan = new DemandPlan(shape, seed);
        VirtualTime pooledTime = new VirtualTime();
        AllocatorRun pooled = new AllocatorRun(plan, new PooledAllocator(plan), pooledTime);
        pooled.execute();
        VirtualTime time = new VirtualTime();
        AllocatorRun ledgers = new AllocatorRun(plan, new LedgerAllocator(plan, time, seed), time);
        ledgers.execute();
        AllocatorRun fixedSplit =
                new AllocatorRun(plan, new SplitAllocator(plan, 0), new VirtualTime());
        fixedSplit.execute();
        AllocatorRun lazyGrants =
                new AllocatorRun(
                        plan, new SplitAllocator(plan, LAZY_GRANT_SHARE), new VirtualTime());
        lazyGrants.execute();
        return List.of(
                ledgers.summarize("ledgers", pooled),
                fixedSplit.summarize("fixed equal split", pooled),
                lazyGrants.summarize("lazy grants from a pool", pooled));
    }

    /** Prints the results of one run as a table. */
    public static void print(PrintStream out, DemandShape shape, long seed, List<Result> results) {
        out.printf("demand %s, seed %d%n", shape.name().toLowerCase(Locale.ROOT), seed);
        out.printf(
                "%-26s %9s %9s %9s %9s %14s %9s %10s%n",
                "",
                "requests",
                "refused",
                "false",
                "false %",
                "false, 1/10 left",
                "overspent",
                "messages");
        for (Result result : results) {
            out.printf(
                    "%-26s %9d %9d %9d %9.3f %16d %9d %10d%n",
                    result.name(),
                    result.requests(),
                    result.refusals(),
                    result.falseRefusals(),
                    100 * result.falseRefusalRate(),
                    result.falseRefusalsWithTenthLeft(),
                    result.overspentTokens(),
                    result.messageCount());
        }
    }

    /** One run of a demand plan against an allocator. */
    private static final class AllocatorRun {
        private final DemandPlan plan;
        private final Allocator allocator;
        private final VirtualTime time;
        private final boolean[] admitted;
        private final boolean[] tenthLeft;
        private final long[] usedTokens = new long[DemandPlan.BUDGET_COUNT];

        AllocatorRun(DemandPlan plan, Allocator allocator, VirtualTime time) {
            this.plan = plan;
            this.allocator = allocator;
            this.time = time;
            this.admitted = new boolean[plan.arrivals().size()];
            this.tenthLeft = new boolean[plan.arrivals().size()];
        }

        void execute() {
            time.schedule(DemandPlan.PARTITION_START_MILLIS, () -> allocator.setPartitioned(true));
            time.schedule(DemandPlan.PARTITION_END_MILLIS, () -> allocator.setPartitioned(false));
            long start = time.nowMillis();
            for (int i = 0; i < admitted.length; i++) {
                int id = i;
                Arrival arrival = plan.arrivals().get(i);
                long delay = start + arrival.arrivalMillis() - time.nowMillis();
                time.schedule(
                        delay,
                        () ->
                                allocator.reserve(
                                        id,
                                        arrival,
                                        isAdmitted -> onDecision(id, arrival, isAdmitted)));
            }
            time.runFor(DemandPlan.END_MILLIS + DRAIN_MILLIS);
        }

        private void onDecision(int id, Arrival arrival, boolean isAdmitted) {
            int budget = arrival.budget();
            tenthLeft[id] =
                    (plan.creditOf(budget) - usedTokens[budget]) * TENTH_DIVISOR
                            >= plan.creditOf(budget);
            if (!isAdmitted) {
                return;
            }
            admitted[id] = true;
            usedTokens[budget] += arrival.usedTokens();
            time.schedule(arrival.durationMillis(), () -> allocator.settle(id, arrival));
        }

        Result summarize(String name, AllocatorRun pooled) {
            long refusals = 0;
            long falseRefusals = 0;
            long falseRefusalsWithTenthLeft = 0;
            for (int i = 0; i < admitted.length; i++) {
                boolean isFalse = !admitted[i] && pooled.admitted[i];
                refusals += admitted[i] ? 0 : 1;
                falseRefusals += isFalse ? 1 : 0;
                falseRefusalsWithTenthLeft += isFalse && tenthLeft[i] ? 1 : 0;
            }
            long overspentTokens = 0;
            for (int budget = 0; budget < usedTokens.length; budget++) {
                overspentTokens += Math.max(0, usedTokens[budget] - plan.creditOf(budget));
            }
            return new Result(
                    name,
                    admitted.length,
                    refusals,
                    falseRefusals,
                    falseRefusalsWithTenthLeft,
                    overspentTokens,
                    allocator.messageCount());
        }
    }
}
