package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The disk of one control instance is full for a while; another instance ends meanwhile or after.
 */
final class FullDiskFleetTest {
    private static final int SEEDS = 20;
    private static final long SETTLE_MILLIS = 3_000;
    private static final long FULL_MILLIS = 4_500;

    private VirtualFleet fleet;
    private long sentVersion;
    private long confirmedVersion;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private void startFleet(long seed) {
        fleet = new VirtualFleet(seed, 3, 0);
        fleet.time.runFor(SETTLE_MILLIS);
    }

    /** Sends a change through an instance and returns whether it is confirmed within 3 s. */
    private boolean change(VirtualControl control) {
        long version = ++sentVersion;
        control.instance.put(
                new PutConfiguration(version, new byte[] {(byte) version}, Map.of()),
                new ConfigurationCallback() {
                    @Override
                    public void onConfirmed(ConfigurationDocument document) {
                        confirmedVersion = Math.max(confirmedVersion, document.version());
                    }

                    @Override
                    public void onUnconfirmed() {
                        // The version stays unconfirmed.
                    }
                });
        fleet.time.runFor(SETTLE_MILLIS);
        return confirmedVersion == version;
    }

    private VirtualControl leader() {
        return fleet.controls.values().stream()
                .filter(control -> control.process.isRunning() && control.raft.isLeader())
                .findFirst()
                .orElseThrow();
    }

    private List<VirtualControl> followers() {
        List<VirtualControl> followers = new ArrayList<>(fleet.controls.values());
        followers.remove(leader());
        return followers;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void changesAreConfirmedWhileTheDiskOfTheLeaderIsFull(long seed) {
        startFleet(seed);
        VirtualControl full = leader();
        full.disk.failSyncs();
        assertThat(change(full)).isTrue();
        assertThat(change(followers().get(0))).isTrue();
        full.disk.resumeSyncs();
        fleet.time.runFor(SETTLE_MILLIS);
        followers().get(0).process.crash();
        assertThat(change(leader())).as("after the loss of another instance").isTrue();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void leaderWithAFullDiskThatResignsIsReplacedAndNotElectedAgain(long seed) {
        startFleet(seed);
        VirtualControl full = leader();
        full.disk.failSyncs();
        assertThat(change(full)).isTrue();
        full.raft.resign();
        fleet.time.runFor(SETTLE_MILLIS);
        assertThat(leader()).isNotSameAs(full);
        assertThat(change(followers().get(0))).isTrue();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void instanceWithAFullDiskNeitherConfirmsNorVotes(long seed) {
        startFleet(seed);
        VirtualControl full = followers().get(0);
        VirtualControl other = followers().get(1);
        full.disk.failSyncs();
        fleet.time.runFor(100);
        other.process.crash();
        assertThat(change(leader())).as("confirmed by the leader alone").isFalse();
        fleet.controls.values().stream()
                .filter(control -> control != full && control != other)
                .forEach(VirtualControl::restart);
        fleet.time.runFor(FULL_MILLIS);
        assertThat(fleet.controls.values()).noneMatch(control -> control.raft.isLeader());
        full.disk.resumeSyncs();
        fleet.time.runFor(SETTLE_MILLIS);
        assertThat(change(leader())).as("after the disk has room again").isTrue();
    }
}
