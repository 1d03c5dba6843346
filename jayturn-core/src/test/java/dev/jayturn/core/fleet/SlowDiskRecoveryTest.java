package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.virtual.VirtualDisk;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * All control instances lose power right after an acknowledgement and one of them its disk as well,
 * with syncs of 1 to 100 ms and starts of 2 s.
 */
final class SlowDiskRecoveryTest {
    private static final int SEEDS = 100;
    private static final int LONGEST_SYNC_MILLIS = 100;
    private static final long START_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 4_000;

    /** Time from the return of all instances to the first confirmed read. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final long POLL_MILLIS = 100;

    private VirtualFleet fleet;
    private Random random;
    private long sentVersion;
    private long confirmedVersion;
    private long readVersion;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private ConfigurationCallback noteConfirmed() {
        return new ConfigurationCallback() {
            @Override
            public void onConfirmed(ConfigurationDocument document) {
                confirmedVersion = Math.max(confirmedVersion, document.version());
            }

            @Override
            public void onUnconfirmed() {
                // The test sends the next version.
            }
        };
    }

    private ConfigurationCallback noteRead() {
        return new ConfigurationCallback() {
            @Override
            public void onConfirmed(ConfigurationDocument document) {
                readVersion = Math.max(readVersion, document.version());
            }

            @Override
            public void onUnconfirmed() {
                // The test reads again.
            }
        };
    }

    private void setSlow(VirtualDisk disk) {
        disk.setSyncMillis(() -> 1 + random.nextInt(LONGEST_SYNC_MILLIS));
    }

    private void awaitChange() {
        long version = ++sentVersion;
        List<VirtualControl> all = new ArrayList<>(fleet.controls.values());
        all.get(random.nextInt(all.size()))
                .instance
                .put(
                        new PutConfiguration(version, new byte[] {(byte) version}, Map.of()),
                        noteConfirmed());
        for (int i = 0; i < 100 && confirmedVersion < version; i++) {
            fleet.time.runFor(10);
        }
    }

    /** Returns the time until a read is confirmed, in milliseconds. */
    private long losePower(int lostDisks) {
        List<VirtualControl> all = new ArrayList<>(fleet.controls.values());
        VirtualControl emptied = all.get(random.nextInt(all.size()));
        all.forEach(control -> control.process.crash());
        for (int i = 0; i < lostDisks; i++) {
            emptied.loseDisk();
            setSlow(emptied.disk);
        }
        fleet.time.runFor(START_MILLIS);
        for (VirtualControl control : all) {
            control.restart();
            fleet.time.runFor(random.nextInt(300));
        }
        readVersion = -1;
        long millis = 0;
        while (readVersion < confirmedVersion && millis < RECOVERY_MILLIS) {
            all.get(random.nextInt(all.size())).instance.read(noteRead());
            fleet.time.runFor(POLL_MILLIS);
            millis += POLL_MILLIS;
        }
        return millis;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void readsAreConfirmedAfterEachPowerLoss(long seed) {
        random = new Random(seed);
        fleet = new VirtualFleet(seed, random.nextInt(4) == 0 ? 5 : 3, 0);
        fleet.controls.values().forEach(control -> setSlow(control.disk));
        fleet.time.runFor(SETTLE_MILLIS);
        List<Long> times = new ArrayList<>();
        for (int round = 0; round < 6; round++) {
            awaitChange();
            times.add(losePower(1));
            assertThat(times).last().as("%s", times).isNotEqualTo(RECOVERY_MILLIS);
            assertThat(readVersion).isGreaterThanOrEqualTo(confirmedVersion);
            // The time after which a returned instance has to stand in for a lost one.
            fleet.time.runFor(SETTLE_MILLIS);
        }
    }
}
