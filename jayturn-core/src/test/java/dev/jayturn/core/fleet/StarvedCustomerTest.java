package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against starving a customer whose tokens are elsewhere: those of a budget that is put in
 * force right before all entry instances lose touch with the control instances, and those that one
 * instance needs as all callers of a customer are connected to it.
 */
final class StarvedCustomerTest {
    private static final int CONTROLS = 6;
    private static final int DATA_CENTRES = 6;
    private static final int CUSTOMERS = 24;
    private static final double SIZE_EXPONENT = 1.2;
    private static final double MEAN_TOKENS = 12_000;
    private static final double TOKENS_SPREAD = 0.8;
    private static final long MAX_TOKENS = 60_000;
    private static final double SPENT_SHARE = 0.9;
    private static final double PREPAID_FACTOR = 1.3;
    private static final long RUN_MILLIS = 34_000;
    private static final long CUT_START_MILLIS = 23_000;
    private static final long CUT_END_MILLIS = 31_800;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int NEW_CUSTOMER = 3;

    /** A customer is starved if its share of served requests is below this part of everybody's. */
    private static final double STARVED_BELOW = 0.25;

    /** Tokens are left in the data centre, so the instance at which calls arrive hardly matters. */
    private static final double SAME_INSTANCE_SHARE = 0.9;

    private static final ConfigurationCallback IGNORED =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    // The test asks the entry instances instead.
                }

                @Override
                public void onUnconfirmed() {
                    // The test asks the entry instances instead.
                }
            };

    private final Map<String, Long> calls = new HashMap<>();
    private VirtualFleet fleet = new VirtualFleet(1, CONTROLS, 0);
    private long startMillis;
    private boolean largestStays;

    private static String customer(int rank) {
        return "customer-" + rank;
    }

    private static double weight(int rank) {
        return 1 / Math.pow(rank + 1, SIZE_EXPONENT);
    }

    private long elapsedMillis() {
        return fleet.time.nowMillis() - startMillis;
    }

    /** Returns the budgets of all customers, of which the new one has none before its start. */
    private static Map<String, Long> budgets(int callsPerSecond, boolean withNewCustomer) {
        double weightSum = 0;
        for (int rank = 0; rank < CUSTOMERS; rank++) {
            weightSum += weight(rank);
        }
        double tokens = PREPAID_FACTOR * MEAN_TOKENS * callsPerSecond * RUN_MILLIS / 1_000;
        Map<String, Long> budgets = new HashMap<>();
        for (int rank = 0; rank < CUSTOMERS; rank++) {
            if (rank != NEW_CUSTOMER || withNewCustomer) {
                budgets.put(customer(rank), (long) (tokens * weight(rank) / weightSum));
            }
        }
        return budgets;
    }

    private int drawRank() {
        double weightSum = 0;
        for (int rank = 0; rank < CUSTOMERS; rank++) {
            weightSum += weight(rank);
        }
        double drawn = fleet.random.nextDouble() * weightSum;
        int rank = 0;
        while (rank < CUSTOMERS - 1 && drawn >= weight(rank)) {
            drawn -= weight(rank);
            rank++;
        }
        return rank;
    }

    private long drawTokens() {
        double logMean = Math.log(MEAN_TOKENS) - TOKENS_SPREAD * TOKENS_SPREAD / 2;
        double tokens = Math.exp(logMean + TOKENS_SPREAD * fleet.random.nextGaussian());
        return Math.min(MAX_TOKENS, (long) tokens);
    }

    /** Makes a call at an instance that knows its customer. */
    private void call() {
        int rank = drawRank();
        List<VirtualEntry> knowing = new ArrayList<>();
        for (VirtualEntry entry : fleet.entries.values()) {
            if (rank != NEW_CUSTOMER || largestStays || entry.configurationVersion >= 2) {
                knowing.add(entry);
            }
        }
        if (!knowing.isEmpty()) {
            long tokens = drawTokens();
            calls.merge(customer(rank), 1L, Long::sum);
            boolean staysWithOneInstance = rank == 0 && largestStays;
            knowing.get(staysWithOneInstance ? 0 : fleet.random.nextInt(knowing.size()))
                    .call(customer(rank), tokens, (long) (SPENT_SHARE * tokens));
        }
    }

    private void scheduleCall(int callsPerSecond) {
        fleet.time.schedule(
                Math.round(
                        -Math.log(1 - fleet.random.nextDouble())
                                * MILLIS_PER_SECOND
                                / callsPerSecond),
                () -> {
                    if (elapsedMillis() < RUN_MILLIS) {
                        call();
                        scheduleCall(callsPerSecond);
                    }
                });
    }

    private static double servedShare(long called, long refused) {
        return called == 0 ? 1 : 1 - (double) refused / called;
    }

    @ParameterizedTest(name = "{0} instances, {1} calls per second, {2} ms before a cut, seed {3}")
    @CsvSource({
        "6, 24, 80, 1",
        "6, 24, 80, 2",
        "6, 24, 100, 1",
        "6, 24, 100, 2",
        "6, 24, 120, 1",
        "6, 24, 120, 2",
        "6, 24, 160, 1",
        "6, 24, 160, 2",
        "30, 120, 80, 1",
        "30, 120, 80, 2",
        "30, 120, 100, 1",
        "30, 120, 100, 2",
        "30, 120, 120, 1",
        "30, 120, 120, 2",
        "30, 120, 160, 1",
        "30, 120, 160, 2",
        "80, 300, 80, 1",
        "80, 300, 80, 2",
        "80, 300, 100, 1",
        "80, 300, 100, 2",
        "80, 300, 120, 1",
        "80, 300, 120, 2",
        "80, 300, 160, 1",
        "80, 300, 160, 2"
    })
    void customerIsServedInACutThatFollowsItsBudget(
            int instances, int callsPerSecond, int beforeMillis, long seed) {
        fleet =
                new VirtualFleet(
                        seed, CONTROLS, instances, (instances + DATA_CENTRES - 1) / DATA_CENTRES);
        fleet.network.setFaults(0, 0, 5);
        fleet.time.runFor(3_000);
        fleet.put(1, budgets(callsPerSecond, false), IGNORED);
        fleet.time.runFor(2_000);
        startMillis = fleet.time.nowMillis();
        scheduleCall(callsPerSecond);
        fleet.time.runFor(CUT_START_MILLIS - beforeMillis);
        fleet.put(2, budgets(callsPerSecond, true), IGNORED);
        fleet.time.runFor(beforeMillis);
        fleet.network.isolate("core");
        fleet.time.runFor(CUT_END_MILLIS - CUT_START_MILLIS);
        assertNoneIsStarved();
    }

    @ParameterizedTest(name = "{0} instances, {1} calls per second, seed {2}, cut off {3}")
    @CsvSource({
        "6, 24, 1, false", "6, 24, 2, true",
        "30, 120, 1, false", "30, 120, 2, true",
        "80, 300, 1, false", "80, 300, 2, true"
    })
    void customerWhoseCallersAreAllConnectedToOneInstanceIsServed(
            int instances, int callsPerSecond, long seed, boolean cutOff) {
        fleet =
                new VirtualFleet(
                        seed, CONTROLS, instances, (instances + DATA_CENTRES - 1) / DATA_CENTRES);
        fleet.network.setFaults(0, 0, 5);
        fleet.time.runFor(3_000);
        fleet.put(1, budgets(callsPerSecond, true), IGNORED);
        fleet.time.runFor(2_000);
        largestStays = true;
        startMillis = fleet.time.nowMillis();
        scheduleCall(callsPerSecond);
        fleet.time.runFor(5_000);
        if (cutOff) {
            fleet.network.isolate("core");
        }
        fleet.time.runFor(7_000);
        fleet.network.heal();
        fleet.time.runFor(4_000);
        long called = calls.getOrDefault(customer(0), 0L);
        long refused = fleet.refusedCallsByCustomer.getOrDefault(customer(0), 0L);
        assertThat(servedShare(called, refused))
                .as("share served of %d calls, of all %.2f", called, shareOfAll())
                .isGreaterThanOrEqualTo(SAME_INSTANCE_SHARE * shareOfAll());
    }

    private double shareOfAll() {
        long called = calls.values().stream().mapToLong(Long::longValue).sum();
        long refused =
                fleet.refusedCallsByCustomer.values().stream().mapToLong(Long::longValue).sum();
        return servedShare(called, refused);
    }

    private void assertNoneIsStarved() {
        double all = shareOfAll();
        calls.forEach(
                (customer, called) -> {
                    long refused = fleet.refusedCallsByCustomer.getOrDefault(customer, 0L);
                    assertThat(servedShare(called, refused))
                            .as(
                                    "share served of %d calls of %s, of all %.2f",
                                    called, customer, all)
                            .isGreaterThanOrEqualTo(STARVED_BELOW * all);
                });
    }
}
