package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against control instances that stay voters after their replacement by others. */
final class ControlReplacementTest {
    /** Time after its start in which the successor of a lost instance has to stand in for it. */
    private static final long CATCH_UP_MILLIS = 4_000;

    /** Time after the return of all instances in which reads are answered again. */
    private static final long RECOVERY_MILLIS = 5_000;

    private long confirmedVersion = -1;

    private final ConfigurationCallback callback =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    confirmedVersion = document.version();
                }

                @Override
                public void onUnconfirmed() {
                    // The tests look at the versions that were confirmed.
                }
            };

    private void put(VirtualFleet fleet, long version) {
        for (int attempt = 0; attempt < 3 && confirmedVersion != version; attempt++) {
            fleet.put(version, Map.of(), callback);
            fleet.time.runFor(1_000);
        }
        assertThat(confirmedVersion).isEqualTo(version);
    }

    private static VirtualControl leader(VirtualFleet fleet) {
        for (VirtualControl control : fleet.controls.values()) {
            if (control.process.isRunning() && control.raft.isLeader()) {
                return control;
            }
        }
        throw new AssertionError("no control instance leads");
    }

    private static VirtualControl follower(VirtualFleet fleet) {
        VirtualControl leader = leader(fleet);
        for (VirtualControl control : fleet.controls.values()) {
            if (control != leader) {
                return control;
            }
        }
        throw new AssertionError("the leader is alone");
    }

    /** All instances lose power, one of them its disk too, and all return a second later. */
    private static void loseDiskAndPowerOfAll(VirtualFleet fleet, VirtualControl victim) {
        List<VirtualControl> all = new ArrayList<>(fleet.controls.values());
        all.forEach(control -> control.process.crash());
        victim.loseDisk();
        fleet.time.runFor(1_000);
        all.forEach(VirtualControl::restart);
    }

    private void assertRecovers(VirtualFleet fleet, long version) {
        fleet.time.runFor(RECOVERY_MILLIS);
        confirmedVersion = -1;
        leader(fleet).instance.read(callback);
        fleet.time.runFor(1_000);
        assertThat(confirmedVersion).isEqualTo(version);
    }

    private static void assertVotersAreTheInstances(VirtualFleet fleet) {
        List<String> voters = new ArrayList<>();
        for (Member member : leader(fleet).raft.members()) {
            if (member.voter()) {
                voters.add(member.id());
            }
        }
        List<String> instances = new ArrayList<>();
        fleet.controls
                .values()
                .forEach(control -> instances.add(control.name + "#" + control.storeId));
        assertThat(voters).containsExactlyInAnyOrderElementsOf(instances);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossOfADiskAndOfAllPowerAfterAReplacementIsBorne(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, 3, 0);
        fleet.time.runFor(3_000);
        put(fleet, 1);
        fleet.removeControl(follower(fleet).name);
        fleet.time.runFor(1_000);
        fleet.addControl("successor");
        fleet.time.runFor(CATCH_UP_MILLIS);
        put(fleet, 2);
        loseDiskAndPowerOfAll(fleet, follower(fleet));
        assertRecovers(fleet, 2);
        assertVotersAreTheInstances(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossOfADiskAfterTheReplacementOfTheLeaderIsBorne(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, 3, 0);
        fleet.time.runFor(3_000);
        put(fleet, 1);
        fleet.removeControl(leader(fleet).name);
        fleet.time.runFor(1_000);
        fleet.addControl("successor");
        fleet.time.runFor(CATCH_UP_MILLIS);
        put(fleet, 2);
        loseDiskAndPowerOfAll(fleet, leader(fleet));
        assertRecovers(fleet, 2);
        assertVotersAreTheInstances(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossOfADiskAfterAPlannedReplacementIsBorne(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, 3, 0);
        fleet.time.runFor(3_000);
        put(fleet, 1);
        VirtualControl replaced = follower(fleet);
        fleet.addControl("successor");
        fleet.time.runFor(CATCH_UP_MILLIS);
        fleet.removeControl(replaced.name);
        fleet.time.runFor(CATCH_UP_MILLIS);
        put(fleet, 2);
        loseDiskAndPowerOfAll(fleet, follower(fleet));
        assertRecovers(fleet, 2);
        assertVotersAreTheInstances(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void replacementsOfAllInstancesInARowAreBorne(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, 3, 0);
        fleet.time.runFor(3_000);
        put(fleet, 1);
        for (int i = 0; i < 3; i++) {
            fleet.removeControl("control-" + i);
            fleet.time.runFor(1_000);
            fleet.addControl("successor-" + i);
            fleet.time.runFor(CATCH_UP_MILLIS);
        }
        put(fleet, 2);
        loseDiskAndPowerOfAll(fleet, follower(fleet));
        assertRecovers(fleet, 2);
        assertVotersAreTheInstances(fleet);
    }
}
