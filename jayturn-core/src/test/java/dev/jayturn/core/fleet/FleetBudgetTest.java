package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.slice.ClockReading;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Spending of budgets at all entry instances through partitions, crashes and top-ups. */
final class FleetBudgetTest {
    private static final int ENTRIES = 6;
    private static final long PREPAID = 400_000;

    private static final ConfigurationCallback IGNORED =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    // The tests check the effect of the configuration instead.
                }

                @Override
                public void onUnconfirmed() {
                    // The tests check the effect of the configuration instead.
                }
            };

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 30);
    }

    private static VirtualFleet startFleet(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, 3, ENTRIES);
        fleet.network.setFaults(0, 0, 2);
        fleet.time.runFor(3_000);
        fleet.put(1, Map.of("roy", PREPAID), IGNORED);
        fleet.time.runFor(2_000);
        return fleet;
    }

    private static void callRandomEntries(VirtualFleet fleet, int count, long tokens) {
        for (int i = 0; i < count; i++) {
            fleet.time.runFor(20);
            fleet.entries.get("entry-" + fleet.random.nextInt(ENTRIES)).call("roy", tokens);
        }
    }

    @Test
    void nearlyTheWholeBudgetCanBeSpentWhileControlIsReachable() {
        VirtualFleet fleet = startFleet(1);
        callRandomEntries(fleet, 1_200, 500);
        assertThat(fleet.spentBy("roy")).isLessThanOrEqualTo(PREPAID);
        assertThat(fleet.spentBy("roy")).isGreaterThanOrEqualTo((long) (0.97 * PREPAID));
    }

    @Test
    void entryInstancesKeepServingWhilePartitionedFromControl() {
        VirtualFleet fleet = startFleet(2);
        callRandomEntries(fleet, 300, 500);
        fleet.refusedCallsByCustomer.clear();
        long before = fleet.spentBy("roy");
        fleet.network.isolate("core");
        callRandomEntries(fleet, 400, 250);
        fleet.network.heal();
        long served = (fleet.spentBy("roy") - before) / 250;
        assertThat(served).isGreaterThanOrEqualTo(390);
    }

    @Test
    void tokensThatACrashedInstanceDidNotDrawAreIssuedAgain() {
        VirtualFleet fleet = startFleet(3);
        callRandomEntries(fleet, 200, 500);
        for (int i = 0; i < ENTRIES; i++) {
            fleet.entries.get("entry-" + i).process.crash();
        }
        fleet.time.runFor(1_200);
        for (int i = 0; i < ENTRIES; i++) {
            String name = "entry-" + i;
            fleet.entries.put(name, fleet.new VirtualEntry(name, "boot-0"));
        }
        fleet.time.runFor(2_000);
        callRandomEntries(fleet, 1_000, 500);
        assertThat(fleet.spentBy("roy")).isLessThanOrEqualTo(PREPAID);
        assertThat(fleet.spentBy("roy")).isGreaterThanOrEqualTo((long) (0.7 * PREPAID));
    }

    @Test
    void unspentReservationsServeLaterRequests() {
        VirtualFleet fleet = new VirtualFleet(4, 3, 24, 8);
        fleet.network.setFaults(0, 0, 2);
        fleet.time.runFor(3_000);
        long prepaid = 90_000;
        fleet.put(1, Map.of("roy", prepaid), IGNORED);
        fleet.time.runFor(2_000);
        // Two calls are open at a time: all but four full reservations can be spent.
        long spendable = (long) (0.97 * prepaid) - 4 * 1_500;
        for (int i = 0; i < 400 && fleet.spentBy("roy") < spendable; i++) {
            fleet.entries.get("entry-" + fleet.random.nextInt(24)).call("roy", 1_500, 500);
            fleet.time.runFor(200);
        }
        assertThat(fleet.spentBy("roy")).isBetween(spendable, prepaid);
        assertThat(fleet.refusedCallsByCustomer.getOrDefault("roy", 0L)).isLessThanOrEqualTo(5);
    }

    @Test
    void crashOfAllEntriesAfterAPartitionLosesNoMoreThanTheMarks() {
        VirtualFleet fleet = new VirtualFleet(5, 3, 24, 8);
        fleet.network.setFaults(0, 0, 20);
        fleet.time.runFor(3_000);
        fleet.put(1, Map.of("roy", PREPAID), IGNORED);
        fleet.time.runFor(2_000);
        callRandomEntriesOf24(fleet, 100);
        fleet.network.isolate("core");
        callRandomEntriesOf24(fleet, 80);
        // Delays the first reports after the partition, so that they arrive one by one.
        fleet.network.setFaults(0, 0, 250);
        fleet.network.heal();
        callRandomEntriesOf24(fleet, 30);
        for (VirtualFleet.VirtualEntry entry : fleet.entries.values()) {
            entry.process.crash();
        }
        fleet.time.runFor(1_200);
        for (int i = 0; i < 24; i++) {
            String name = "entry-" + i;
            fleet.entries.put(name, fleet.new VirtualEntry(name, "boot-0"));
        }
        fleet.time.runFor(2_000);
        callRandomEntriesOf24(fleet, 1_500);
        // 5,000 tokens per second were drawn; the marks cover 3.6 s of that.
        assertThat(fleet.spentBy("roy")).isBetween((long) (0.9 * PREPAID), PREPAID);
    }

    @Test
    void powerLossOfAllInstancesThatStartSlowlyLosesNoMoreThanTheMarks() {
        VirtualFleet fleet = new VirtualFleet(7, 3, 24, 8);
        fleet.network.setFaults(0, 0, 20);
        fleet.time.runFor(3_000);
        fleet.put(1, Map.of("roy", PREPAID), IGNORED);
        fleet.time.runFor(2_000);
        callRandomEntriesOf24(fleet, 100);
        fleet.entries.values().forEach(entry -> entry.process.crash());
        fleet.controls.values().forEach(control -> control.process.crash());
        fleet.time.runFor(1_600);
        long startMillis = fleet.time.nowMillis();
        // On a small share of a core it takes this long to load the program.
        fleet.time.runFor(2_200);
        fleet.controls.values().forEach(control -> control.restart());
        for (int i = 0; i < 24; i++) {
            ClockReading startedAt = new ClockReading("boot-1", startMillis, startMillis);
            fleet.entries.put("entry-" + i, fleet.new VirtualEntry("entry-" + i, startedAt));
        }
        fleet.time.runFor(3_000);
        callRandomEntriesOf24(fleet, 1_500);
        assertThat(fleet.spentBy("roy")).isBetween((long) (0.85 * PREPAID), PREPAID);
    }

    @Test
    void topUpOfASpentBudgetServesRequestsDuringAPartitionRightAfter() {
        VirtualFleet fleet = new VirtualFleet(6, 3, 24, 8);
        fleet.network.setFaults(0, 0, 20);
        fleet.time.runFor(3_000);
        fleet.put(1, Map.of("roy", 50_000L), IGNORED);
        fleet.time.runFor(2_000);
        callRandomEntriesOf24(fleet, 200);
        fleet.put(2, Map.of("roy", 110_000L), IGNORED);
        fleet.time.runFor(600);
        fleet.network.isolate("core");
        long before = fleet.spentBy("roy");
        callRandomEntriesOf24(fleet, 80);
        assertThat((fleet.spentBy("roy") - before) / 500).isGreaterThanOrEqualTo(76);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 200, 300, 400, 500, 600, 700, 800, 900, 1_000, 1_200, 1_500})
    void crashOfAllEntriesSoonAfterAPartitionOverspendsNothing(int afterMillis) {
        VirtualFleet fleet = new VirtualFleet(afterMillis, 3, 24, 8);
        fleet.network.setFaults(0, 0, 20);
        fleet.time.runFor(3_000);
        fleet.put(1, Map.of("roy", PREPAID), IGNORED);
        fleet.time.runFor(2_000);
        callRandomEntriesOf24(fleet, 50);
        fleet.network.isolate("core");
        // During the partition far more is spent than the marks allow.
        callRandomEntriesOf24(fleet, 100, 1_500);
        fleet.network.setFaults(0, 0, 250);
        fleet.network.heal();
        fleet.time.runFor(afterMillis);
        for (VirtualFleet.VirtualEntry entry : fleet.entries.values()) {
            entry.process.crash();
        }
        fleet.time.runFor(600);
        fleet.network.setFaults(0, 0, 20);
        for (int i = 0; i < 24; i++) {
            String name = "entry-" + i;
            fleet.entries.put(name, fleet.new VirtualEntry(name, "boot-0"));
        }
        callRandomEntriesOf24(fleet, 700, 1_500);
        assertThat(fleet.spentBy("roy")).isLessThanOrEqualTo(PREPAID);
    }

    private static void callRandomEntriesOf24(VirtualFleet fleet, int count) {
        callRandomEntriesOf24(fleet, count, 500);
    }

    private static void callRandomEntriesOf24(VirtualFleet fleet, int count, long tokens) {
        for (int i = 0; i < count; i++) {
            fleet.time.runFor(100);
            fleet.entries.get("entry-" + fleet.random.nextInt(24)).call("roy", tokens);
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noBudgetIsOverspentThroughPartitionsCrashesAndTopUps(long seed) {
        VirtualFleet fleet = startFleet(seed);
        fleet.network.setFaults(0.02, 0.02, 20);
        long prepaid = PREPAID;
        for (int step = 0; step < 60; step++) {
            switch (fleet.random.nextInt(8)) {
                case 0:
                    fleet.network.isolate("core");
                    break;
                case 1:
                    fleet.network.isolate("entry-" + fleet.random.nextInt(ENTRIES));
                    break;
                case 2:
                    fleet.network.heal();
                    break;
                case 3:
                    restartEntry(fleet, fleet.random.nextInt(ENTRIES));
                    break;
                case 4:
                    fleet.controls.get("control-" + fleet.random.nextInt(3)).restart();
                    break;
                case 5:
                    fleet.entries
                            .get("entry-" + fleet.random.nextInt(ENTRIES))
                            .process
                            .pause(fleet.random.nextInt(5_000));
                    break;
                case 6:
                    prepaid += 5_000;
                    fleet.put(2 + step, Map.of("roy", prepaid), IGNORED);
                    break;
                default:
                    break;
            }
            callRandomEntries(fleet, 30, 200 + fleet.random.nextInt(600));
            assertThat(fleet.spentBy("roy")).isLessThanOrEqualTo(prepaid);
        }
        fleet.network.heal();
        fleet.time.runFor(3_000);
        callRandomEntries(fleet, 300, 500);
        assertThat(fleet.spentBy("roy")).isLessThanOrEqualTo(prepaid);
    }

    private static void restartEntry(VirtualFleet fleet, int number) {
        String name = "entry-" + number;
        fleet.entries.get(name).process.crash();
        fleet.time.runFor(fleet.random.nextInt(4_000));
        fleet.entries.put(name, fleet.new VirtualEntry(name, "boot-0"));
    }
}
