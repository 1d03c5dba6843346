package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Control instances are replaced, lose their disks, restart and are cut off at random, with no more
 * losses at a time than they bear. {@code -Dcontrol.losses.seeds=N} runs the seeds 1 to N.
 */
final class ControlLossesTest {
    private static final int ROUNDS = 10;
    private static final int DEFAULT_SEEDS = 150;

    /** Time after its return or start in which an instance has to stand in for a lost one. */
    private static final long CATCH_UP_MILLIS = 4_000;

    private static final long LONGEST_CUT_MILLIS = 6_000;

    private VirtualFleet fleet;
    private Random random;
    private long sentVersion;
    private long confirmedVersion;
    private long readVersion;
    private int successors;

    private final ConfigurationCallback onPut =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    confirmedVersion = Math.max(confirmedVersion, document.version());
                }

                @Override
                public void onUnconfirmed() {
                    // Operators send the next version.
                }
            };

    private final ConfigurationCallback onRead =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    readVersion = document.version();
                }

                @Override
                public void onUnconfirmed() {
                    // The test fails then, as nothing was read.
                }
            };

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("control.losses.seeds", DEFAULT_SEEDS));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void confirmedVersionsAreReadAfterAnyLossesThatAreBorne(long seed) {
        random = new Random(seed);
        fleet = new VirtualFleet(seed, random.nextInt(4) == 0 ? 5 : 3, 0);
        fleet.network.setFaults(random.nextInt(3) * 0.02, 0.01, 5);
        fleet.time.runFor(3_000);
        for (int round = 0; round < ROUNDS; round++) {
            sendChanges();
            String event = loseOne();
            fleet.time.runFor(CATCH_UP_MILLIS);
            readVersion = -1;
            readFromAll();
            assertThat(readVersion)
                    .as("round %d: %s", round, event)
                    .isGreaterThanOrEqualTo(confirmedVersion);
        }
        assertThat(confirmedVersion).isPositive();
    }

    private void sendChanges() {
        for (int i = random.nextInt(4); i >= 0; i--) {
            fleet.put(++sentVersion, Map.of(), onPut);
            fleet.time.runFor(5 + random.nextInt(400));
        }
    }

    /** Reads through each instance in turn until one confirms, as operators do. */
    private void readFromAll() {
        for (int attempt = 0; attempt < 2; attempt++) {
            for (VirtualControl control : controls()) {
                if (readVersion < 0) {
                    control.instance.read(onRead);
                    fleet.time.runFor(1_000);
                }
            }
        }
    }

    private List<VirtualControl> controls() {
        return new ArrayList<>(fleet.controls.values());
    }

    private VirtualControl anyControl() {
        List<VirtualControl> all = controls();
        return all.get(random.nextInt(all.size()));
    }

    private String addSuccessor() {
        String name = "successor-" + ++successors;
        fleet.addControl(name);
        return name;
    }

    private String loseOne() {
        VirtualControl victim = anyControl();
        switch (random.nextInt(7)) {
            case 0:
                fleet.removeControl(victim.name);
                fleet.time.runFor(random.nextInt(2_000));
                return addSuccessor() + " after the loss of " + victim.name;
            case 1:
                String successor = addSuccessor();
                fleet.time.runFor(CATCH_UP_MILLIS);
                fleet.removeControl(victim.name);
                return successor + " before the stop of " + victim.name;
            case 2:
                victim.loseDisk();
                fleet.time.runFor(random.nextInt(2_000));
                victim.restart();
                return "loss of the disk of " + victim.name;
            case 3:
                restartAll(null);
                return "restart of all";
            case 4:
                restartAll(victim);
                return "restart of all and loss of the disk of " + victim.name;
            case 5:
                fleet.network.isolate(victim.name);
                String spare = random.nextBoolean() ? addSuccessor() : "nobody";
                fleet.time.runFor(random.nextInt((int) LONGEST_CUT_MILLIS));
                fleet.network.heal();
                return "cut of " + victim.name + " while " + spare + " joins";
            default:
                victim.process.crash();
                fleet.time.runFor(random.nextInt(3_000));
                victim.restart();
                return "restart of " + victim.name;
        }
    }

    private void restartAll(VirtualControl emptied) {
        List<VirtualControl> all = controls();
        all.forEach(control -> control.process.crash());
        if (emptied != null) {
            emptied.loseDisk();
        }
        fleet.time.runFor(random.nextInt(1_500));
        for (VirtualControl control : all) {
            control.restart();
            fleet.time.runFor(random.nextInt(100));
        }
    }
}
