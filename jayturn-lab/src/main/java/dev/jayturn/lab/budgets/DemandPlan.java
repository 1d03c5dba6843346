package dev.jayturn.lab.budgets;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The requests and budgets of one run, from a seed. */
final class DemandPlan {
    static final int DATA_CENTRE_COUNT = 3;
    static final int BUDGET_COUNT = 10;
    static final int PARTITIONED_DATA_CENTRE = 2;
    static final long PARTITION_START_MILLIS = 600_000;
    static final long PARTITION_END_MILLIS = 4_200_000;
    static final long END_MILLIS = 4_500_000;

    private static final double[] BUDGET_WEIGHTS_PERCENT = {35, 25, 5, 5, 5, 5, 5, 5, 5, 5};
    private static final double[] DATA_CENTRE_SHARES = {0.6, 0.3, 0.1};
    private static final double[] FUNDING_RATIOS = {
        0.8, 0.95, 1.0, 1.05, 0.9, 1.1, 0.7, 1.2, 1.0, 0.85
    };
    private static final double REQUESTS_PER_SECOND = 20;
    private static final long SHIFT_START_MILLIS = 2_400_000;
    private static final long BURST_SLOT_MILLIS = 60_000;
    private static final double BURST_FACTOR = 10;
    private static final double BURST_PROBABILITY = 0.25;
    private static final int RESERVED_TOKENS = 100;

    private final List<Arrival> arrivals = new ArrayList<>();
    private final long[] credits = new long[BUDGET_COUNT];
    private final SplittableRandom random;
    private final DemandShape shape;
    private final int[] burstBudget = new int[(int) (END_MILLIS / BURST_SLOT_MILLIS) + 1];
    private final int[] burstDataCentre = new int[burstBudget.length];

    DemandPlan(DemandShape shape, long seed) {
        this.shape = shape;
        this.random = new SplittableRandom(seed);
        for (int slot = 0; slot < burstBudget.length; slot++) {
            boolean burst = random.nextDouble() < BURST_PROBABILITY;
            burstBudget[slot] = burst ? random.nextInt(BUDGET_COUNT) : -1;
            burstDataCentre[slot] = random.nextInt(DATA_CENTRE_COUNT);
        }
        for (int second = 0; second < END_MILLIS / 1_000; second++) {
            addArrivals(second * 1_000L);
        }
        arrivals.sort((a, b) -> Long.compare(a.arrivalMillis(), b.arrivalMillis()));
        computeCredits();
    }

    private void addArrivals(long millis) {
        for (int budget = 0; budget < BUDGET_COUNT; budget++) {
            for (int place = 0; place < DATA_CENTRE_COUNT; place++) {
                int count =
                        poisson(
                                REQUESTS_PER_SECOND
                                        * BUDGET_WEIGHTS_PERCENT[budget]
                                        / 100
                                        * dataCentreShare(budget, place, millis));
                for (int i = 0; i < count; i++) {
                    arrivals.add(createArrival(millis + random.nextInt(1_000), place, budget));
                }
            }
        }
    }

    private double dataCentreShare(int budget, int place, long millis) {
        boolean shifted = shape == DemandShape.SHIFTING && millis >= SHIFT_START_MILLIS;
        double share = DATA_CENTRE_SHARES[(place + budget + (shifted ? 1 : 0)) % DATA_CENTRE_COUNT];
        int slot = (int) (millis / BURST_SLOT_MILLIS);
        boolean burst =
                shape == DemandShape.BURSTING
                        && burstBudget[slot] == budget
                        && burstDataCentre[slot] == place;
        return burst ? share * BURST_FACTOR : share;
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            count++;
            product *= random.nextDouble();
        }
        return count;
    }

    private Arrival createArrival(long millis, int place, int budget) {
        long used = RESERVED_TOKENS / 5 + random.nextInt(RESERVED_TOKENS * 4 / 5 + 1);
        return new Arrival(
                millis, place, budget, RESERVED_TOKENS, used, 500 + random.nextInt(3_000));
    }

    private void computeCredits() {
        long[] demand = new long[BUDGET_COUNT];
        for (Arrival arrival : arrivals) {
            demand[arrival.budget()] += arrival.usedTokens();
        }
        for (int budget = 0; budget < BUDGET_COUNT; budget++) {
            credits[budget] = (long) (demand[budget] * FUNDING_RATIOS[budget]);
        }
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    long creditOf(int budget) {
        return credits[budget];
    }
}
