package dev.jayturn.core.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Faults of all kinds at random moments under heavy traffic. */
final class RandomFaultTest {
    private static final int ROUNDS = 25;
    private static final int CALLS_PER_ROUND = 40;
    private static final long ROUND_MILLIS = 800;

    private static void runRound(SimulatedFleet fleet, Random random) {
        fleet.scheduleCalls(CALLS_PER_ROUND, ROUND_MILLIS, 0.2);
        fleet.time().runFor(random.nextInt((int) ROUND_MILLIS));
        EntryInstance entry = fleet.entries().get(random.nextInt(fleet.entries().size()));
        ControlInstance control = fleet.controls().get(random.nextInt(3));
        switch (random.nextInt(6)) {
            case 0:
                entry.process().pause(3_500 + random.nextInt(3_000));
                break;
            case 1:
                entry.crash();
                fleet.time().schedule(1_000 + random.nextInt(6_000), entry::start);
                break;
            case 2:
                control.pause(500 + random.nextInt(5_000));
                break;
            case 3:
                fleet.network().isolate(control.dataCentre);
                break;
            case 4:
                fleet.network().heal();
                break;
            default:
                control.crash();
                control.start(false);
                break;
        }
        fleet.time().runFor(ROUND_MILLIS / 2);
    }

    private static SimulatedFleet runWithFaults(long seed, boolean tombstones, long credit) {
        SimulatedFleet fleet = new SimulatedFleet(seed, tombstones);
        Random random = new Random(seed);
        fleet.credit("kokura", "c1", "b", credit);
        fleet.network().setFaults(0.01, 0.02, 10);
        for (int i = 0; i < ROUNDS; i++) {
            runRound(fleet, random);
        }
        fleet.network().heal();
        fleet.network().setFaults(0, 0, 5);
        fleet.time().runFor(10_000);
        for (EntryInstance entry : fleet.entries()) {
            entry.crash();
            entry.start();
        }
        fleet.time().runFor(90_000);
        assertThat(fleet.calls()).anyMatch(RetryingCall::isAnswered);
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void invariantsHoldUnderRandomFaults(long seed) {
        runWithFaults(seed, true, 1_000_000).invariants().checkWhenIdle();
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28, 29, 30})
    void invariantsHoldUnderRandomFaultsWithoutTombstones(long seed) {
        runWithFaults(seed, false, 1_000_000).invariants().checkWhenIdle();
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44, 45, 46, 47, 48, 49, 50, 51, 52})
    void invariantsHoldUnderRandomFaultsWhileBudgetIsExhausted(long seed) {
        runWithFaults(seed, true, 6_000).invariants().checkWhenIdle();
    }
}
