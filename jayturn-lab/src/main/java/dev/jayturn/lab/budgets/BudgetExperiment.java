package dev.jayturn.lab.budgets;

import dev.jayturn.core.virtual.VirtualTime;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * Compares the product's ledgers with two baselines, under an hour's cut of one data centre. A
 * refusal is false if one pool without the cut would have served the request; an allocator that
 * knew the future could have served it, too, by splitting the budget to fit at the cut.
 */
public final class BudgetExperiment {
    private static final double LAZY_GRANT_SHARE = 0.01;
    private static final int TENTH_DIVISOR = 10;

    private final DemandShape shape;
    private final long seed;

    public BudgetExperiment(DemandShape shape, long seed) {
        this.shape = shape;
        this.seed = seed;
    }

    /** What one allocator did. */
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

    /** Runs the ledgers and both baselines; the ledgers come first. */
    public List<Result> run() {
        DemandPlan plan = new DemandPlan(shape, seed);
        VirtualTime pooledTime = new VirtualTime();
        AllocatorRun ideal = new AllocatorRun(plan, new PooledAllocator(plan), pooledTime);
        ideal.execute();
        VirtualTime time = new VirtualTime();
        AllocatorRun ledgers = new AllocatorRun(plan, new LedgerAllocator(plan, time, seed), time);
        ledgers.execute();
        AllocatorRun fixed = new AllocatorRun(plan, new SplitAllocator(plan, 0), new VirtualTime());
        fixed.execute();
        AllocatorRun lazy =
                new AllocatorRun(
                        plan, new SplitAllocator(plan, LAZY_GRANT_SHARE), new VirtualTime());
        lazy.execute();
        return List.of(
                ledgers.summarize("ledgers", ideal),
                fixed.summarize("fixed equal split", ideal),
                lazy.summarize("lazy grants from a pool", ideal));
    }

    /** Prints results as a table. */
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
                        () -> allocator.reserve(id, arrival, ok -> onDecision(id, arrival, ok)));
            }
            time.runFor(DemandPlan.END_MILLIS + 10_000);
        }

        private void onDecision(int id, Arrival arrival, boolean ok) {
            int budget = arrival.budget();
            tenthLeft[id] =
                    (plan.creditOf(budget) - usedTokens[budget]) * TENTH_DIVISOR
                            >= plan.creditOf(budget);
            if (!ok) {
                return;
            }
            admitted[id] = true;
            usedTokens[budget] += arrival.usedTokens();
            time.schedule(arrival.durationMillis(), () -> allocator.settle(id, arrival));
        }

        Result summarize(String name, AllocatorRun ideal) {
            long refused = 0;
            long wrongly = 0;
            long withTenth = 0;
            for (int i = 0; i < admitted.length; i++) {
                boolean isFalse = !admitted[i] && ideal.admitted[i];
                refused += admitted[i] ? 0 : 1;
                wrongly += isFalse ? 1 : 0;
                withTenth += isFalse && tenthLeft[i] ? 1 : 0;
            }
            long overspent = 0;
            for (int budget = 0; budget < usedTokens.length; budget++) {
                overspent += Math.max(0, usedTokens[budget] - plan.creditOf(budget));
            }
            return new Result(
                    name,
                    admitted.length,
                    refused,
                    wrongly,
                    withTenth,
                    overspent,
                    allocator.messageCount());
        }
    }
}
