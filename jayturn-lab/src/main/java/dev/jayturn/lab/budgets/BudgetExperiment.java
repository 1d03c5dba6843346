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
    private static final double CHUNK_SHARE = 0.01;
    private static final int TENTH = 10;

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
            long refused,
            long falselyRefused,
            long falseWithTenthLeft,
            long overspent,
            long messages) {
        /** Returns the share of all requests that were refused falsely. */
        public double falseShare() {
            return (double) falselyRefused / requests;
        }
    }

    /** Runs the ledgers and both baselines; the ledgers come first. */
    public List<Result> run() {
        DemandPlan plan = new DemandPlan(shape, seed);
        VirtualTime pooledTime = new VirtualTime();
        Run ideal = new Run(plan, new PooledAllocator(plan), pooledTime);
        ideal.go();
        VirtualTime time = new VirtualTime();
        Run ledgers = new Run(plan, new LedgerAllocator(plan, time, seed), time);
        ledgers.go();
        Run fixed = new Run(plan, new SplitAllocator(plan, 0), new VirtualTime());
        fixed.go();
        Run lazy = new Run(plan, new SplitAllocator(plan, CHUNK_SHARE), new VirtualTime());
        lazy.go();
        return List.of(
                ledgers.result("ledgers", ideal),
                fixed.result("fixed equal split", ideal),
                lazy.result("lazy grants from a pool", ideal));
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
                    result.refused(),
                    result.falselyRefused(),
                    100 * result.falseShare(),
                    result.falseWithTenthLeft(),
                    result.overspent(),
                    result.messages());
        }
    }

    private static final class Run {
        private final DemandPlan plan;
        private final Allocator allocator;
        private final VirtualTime time;
        private final boolean[] admitted;
        private final boolean[] tenthLeft;
        private final long[] used = new long[DemandPlan.BUDGETS];

        Run(DemandPlan plan, Allocator allocator, VirtualTime time) {
            this.plan = plan;
            this.allocator = allocator;
            this.time = time;
            this.admitted = new boolean[plan.arrivals().size()];
            this.tenthLeft = new boolean[plan.arrivals().size()];
        }

        void go() {
            time.schedule(DemandPlan.CUT_FROM_MILLIS, () -> allocator.cut(true));
            time.schedule(DemandPlan.CUT_TO_MILLIS, () -> allocator.cut(false));
            long start = time.nowMillis();
            for (int i = 0; i < admitted.length; i++) {
                int id = i;
                Arrival arrival = plan.arrivals().get(i);
                long delay = start + arrival.atMillis() - time.nowMillis();
                time.schedule(
                        delay, () -> allocator.open(id, arrival, ok -> opened(id, arrival, ok)));
            }
            time.runFor(DemandPlan.END_MILLIS + 10_000);
        }

        private void opened(int id, Arrival arrival, boolean ok) {
            int budget = arrival.budget();
            tenthLeft[id] = (plan.credit(budget) - used[budget]) * TENTH >= plan.credit(budget);
            if (!ok) {
                return;
            }
            admitted[id] = true;
            used[budget] += arrival.used();
            time.schedule(arrival.durationMillis(), () -> allocator.settle(id, arrival));
        }

        Result result(String name, Run ideal) {
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
            for (int budget = 0; budget < used.length; budget++) {
                overspent += Math.max(0, used[budget] - plan.credit(budget));
            }
            return new Result(
                    name,
                    admitted.length,
                    refused,
                    wrongly,
                    withTenth,
                    overspent,
                    allocator.messages());
        }
    }
}
