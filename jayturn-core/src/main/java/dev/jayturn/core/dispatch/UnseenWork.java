package dev.jayturn.core.dispatch;

import dev.jayturn.core.random.RandomSource;
import java.util.Arrays;

/**
 * Chooses among upstreams whose load is known from an earlier time. Other instances that know the
 * same sums have placed work since, and place more now; if all took the cheapest upstream, they
 * would meet there. Work that nobody sees yet is taken to fill the cheapest upstreams to a common
 * level, and each is chosen with the probability of its part of that work.
 */
final class UnseenWork {
    private static final int STEPS = 1 << 20;

    private UnseenWork() {}

    /**
     * Returns the index of an upstream chosen at random.
     *
     * @param costs costs of the upstreams in milliseconds, at least one
     * @param unseenMillis work that is not seen yet, as the sum of the times that it takes
     */
    static int choose(double[] costs, double unseenMillis, RandomSource random) {
        double level = level(costs, unseenMillis);
        double rest = unseenMillis * random.nextInt(STEPS) / STEPS;
        int chosen = cheapest(costs);
        for (int i = 0; i < costs.length; i++) {
            double part = level - costs[i];
            if (part > 0) {
                if (rest < part) {
                    return i;
                }
                rest -= part;
            }
        }
        return chosen;
    }

    /** Returns the cost that the cheapest upstreams reach once the work is spread over them. */
    private static double level(double[] costs, double work) {
        double[] sorted = costs.clone();
        Arrays.sort(sorted);
        double sum = 0;
        double level = 0;
        for (int i = 0; i < sorted.length; i++) {
            sum += sorted[i];
            level = (sum + work) / (i + 1);
            if (i + 1 < sorted.length && level <= sorted[i + 1]) {
                break;
            }
        }
        return level;
    }

    private static int cheapest(double[] costs) {
        int best = 0;
        for (int i = 1; i < costs.length; i++) {
            if (costs[i] < costs[best]) {
                best = i;
            }
        }
        return best;
    }
}
