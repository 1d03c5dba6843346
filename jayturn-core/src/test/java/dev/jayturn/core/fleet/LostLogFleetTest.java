package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.virtual.VirtualDisk;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A control instance starts with an empty log under the identity that it had before. */
final class LostLogFleetTest {
    private static final int SEEDS = 20;
    private static final int CHANGES = 5;
    private static final long SETTLE_MILLIS = 3_000;

    private static final int LONG_DOCUMENT_BYTES = 200 * 1_024;
    private static final int STEP_MILLIS = 5;

    private VirtualFleet fleet;
    private long sentVersion;
    private long confirmedVersion;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    /** Sends a change through an instance and returns whether it is confirmed within 3 s. */
    private boolean change(VirtualControl control) {
        return change(control, 1);
    }

    private boolean change(VirtualControl control, int bytes) {
        long version = ++sentVersion;
        byte[] document = new byte[bytes];
        document[0] = (byte) version;
        control.instance.put(
                new PutConfiguration(version, document, Map.of()),
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

    /** Guards against a leader that never sends a member again what it has acknowledged. */
    @ParameterizedTest
    @MethodSource("seeds")
    void changesAreConfirmedAfterAMemberLostItsLogAndAnotherOneEnds(long seed) {
        fleet = new VirtualFleet(seed, 3, 0);
        fleet.time.runFor(SETTLE_MILLIS);
        for (int i = 0; i < CHANGES; i++) {
            assertThat(change(leader())).isTrue();
        }
        VirtualControl emptied = followers().get(0);
        VirtualControl other = followers().get(1);
        emptied.process.crash();
        emptied.disk = new VirtualDisk(fleet.time);
        emptied.restart();
        fleet.time.runFor(SETTLE_MILLIS);
        other.process.crash();
        assertThat(change(leader())).as("change after the loss of another instance").isTrue();
    }

    /** Guards against a vote of a member that has only a part of what it had acknowledged. */
    @ParameterizedTest
    @MethodSource("seeds")
    void confirmedChangesOutliveALostLogAndTheLeader(long seed) {
        fleet = new VirtualFleet(seed, 3, 0);
        fleet.time.runFor(SETTLE_MILLIS);
        VirtualControl leader = leader();
        VirtualControl emptied = followers().get(0);
        VirtualControl behind = followers().get(1);
        fleet.network.isolate(behind.name);
        for (int i = 0; i < CHANGES; i++) {
            assertThat(change(leader, LONG_DOCUMENT_BYTES)).isTrue();
        }
        long confirmed = confirmedVersion;
        emptied.process.crash();
        emptied.disk = new VirtualDisk(fleet.time);
        emptied.restart();
        fleet.time.runFor(seed * STEP_MILLIS);
        leader.process.crash();
        fleet.network.heal();
        fleet.time.runFor(SETTLE_MILLIS);
        for (VirtualControl control : List.of(emptied, behind)) {
            change(control, LONG_DOCUMENT_BYTES);
            assertThat(
                            control.raft.isLeader()
                                    && control.state.configuration().version() < confirmed)
                    .as("leads without the confirmed version %d", confirmed)
                    .isFalse();
        }
    }
}
