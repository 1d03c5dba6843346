package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class FleetConfigurationTest {
    private final VirtualFleet fleet = new VirtualFleet(7, 3, 4);
    private long confirmedVersion = -1;
    private int unconfirmed;

    private final ConfigurationCallback callback =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    confirmedVersion = document.version();
                }

                @Override
                public void onUnconfirmed() {
                    unconfirmed++;
                }
            };

    private void put(long version) {
        fleet.put(version, Map.of(), callback);
        fleet.time.runFor(1_500);
    }

    @Test
    void acceptedVersionReachesAllEntryInstances() {
        fleet.time.runFor(3_000);
        put(5);
        assertThat(confirmedVersion).isEqualTo(5);
        assertThat(fleet.entries.values()).allMatch(entry -> entry.configurationVersion == 5);
    }

    @Test
    void olderVersionIsAcknowledgedAndChangesNothing() {
        fleet.time.runFor(3_000);
        put(5);
        put(4);
        assertThat(confirmedVersion).isEqualTo(5);
        assertThat(fleet.entries.values()).allMatch(entry -> entry.configurationVersion == 5);
    }

    @Test
    void withoutAQuorumNothingIsConfirmed() {
        fleet.time.runFor(3_000);
        fleet.controls.get("control-0").process.crash();
        fleet.controls.get("control-1").process.crash();
        fleet.controls
                .get("control-2")
                .instance
                .put(new PutConfiguration(5, new byte[0], Map.of()), callback);
        fleet.time.runFor(3_000);
        assertThat(unconfirmed).isEqualTo(1);
        assertThat(confirmedVersion).isEqualTo(-1);
    }

    @Test
    void acknowledgedConfigurationSurvivesARestartOfAllControlInstances() {
        fleet.time.runFor(3_000);
        put(9);
        fleet.controls.values().forEach(VirtualFleet.VirtualControl::restart);
        fleet.time.runFor(3_000);
        confirmedVersion = -1;
        fleet.controls.get("control-1").instance.read(callback);
        fleet.time.runFor(1_500);
        assertThat(confirmedVersion).isEqualTo(9);
    }

    @Test
    void departureOfAnUpstreamReachesAllEntryInstancesAtOnce() {
        fleet.time.runFor(3_000);
        put(1);
        Heartbeat ready =
                new Heartbeat(
                        "u1",
                        "press",
                        "10.0.1.1:80",
                        "front-0",
                        4,
                        UpstreamState.READY,
                        10,
                        1,
                        "v1");
        fleet.controls.get("control-2").instance.onHeartbeat(ready);
        fleet.time.runFor(100);
        fleet.controls.get("control-0").instance.onDeparture("u1", 10);
        fleet.time.runFor(100);
        assertThat(fleet.entries.values())
                .allMatch(
                        entry ->
                                entry.upstreamHeartbeats
                                                .get(entry.upstreamHeartbeats.size() - 1)
                                                .state()
                                        == UpstreamState.GONE);
    }
}
