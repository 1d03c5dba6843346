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
 * One of three control instances loses its disk or is replaced again and again, before it has
 * caught up; the two others run all the time, with syncs of 1 to 100 ms.
 */
final class EmptiedSuccessorTest {
    private static final int SEEDS = 60;
    private static final int LOSSES = 15;
    private static final int LONGEST_SYNC_MILLIS = 100;
    private static final long SETTLE_MILLIS = 4_000;

    private VirtualFleet fleet;
    private Random random;
    private long sentVersion;
    private long confirmedVersion;

    private final ConfigurationCallback onPut =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    confirmedVersion = Math.max(confirmedVersion, document.version());
                }

                @Override
                public void onUnconfirmed() {
                    // The next version is sent.
                }
            };

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private void setSlow(VirtualControl control) {
        control.disk.setSyncMillis(() -> 1 + random.nextInt(LONGEST_SYNC_MILLIS));
    }

    private void put() {
        fleet.put(++sentVersion, Map.of(), onPut);
    }

    private VirtualControl lose(VirtualControl lost, int loss) {
        boolean replaced = loss % 3 == 2;
        if (replaced) {
            fleet.removeControl(lost.name);
        } else {
            lost.loseDisk();
        }
        fleet.time.runFor(random.nextInt(800));
        VirtualControl next = replaced ? fleet.addControl("successor-" + loss) : lost;
        setSlow(next);
        if (!replaced) {
            next.restart();
        }
        return next;
    }

    /** Guards against a majority of voters that are gone, with which none can be elected. */
    @ParameterizedTest
    @MethodSource("seeds")
    void twoInstancesThatRunAllTheTimeStayAMajority(long seed) {
        random = new Random(seed);
        fleet = new VirtualFleet(seed, 3, 0);
        fleet.network.setFaults(random.nextInt(3) * 0.02, 0.01, 5);
        fleet.controls.values().forEach(this::setSlow);
        fleet.time.runFor(SETTLE_MILLIS);
        List<VirtualControl> all = new ArrayList<>(fleet.controls.values());
        VirtualControl lost = all.get(random.nextInt(all.size()));
        for (int loss = 0; loss < LOSSES; loss++) {
            lost = lose(lost, loss);
            fleet.time.runFor(200 + random.nextInt(2_300));
            put();
        }
        fleet.time.runFor(SETTLE_MILLIS);
        assertThat(fleet.controls.values()).anyMatch(control -> control.raft.isLeader());
        for (int i = 0; i < 5; i++) {
            put();
            fleet.time.runFor(1_000);
        }
        assertThat(confirmedVersion).isGreaterThan(sentVersion - 5);
    }
}
