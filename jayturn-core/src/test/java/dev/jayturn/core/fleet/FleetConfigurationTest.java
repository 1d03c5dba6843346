package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class FleetConfigurationTest {
    private final VirtualFleet fleet = new VirtualFleet(7, 3, 4);
    private long confirmed = -1;
    private int unsure;

    private final ConfigurationReply reply =
            new ConfigurationReply() {
                @Override
                public void confirmed(ConfigurationDocument document) {
                    confirmed = document.version();
                }

                @Override
                public void unsure() {
                    unsure++;
                }
            };

    private void put(long version) {
        fleet.put(version, Map.of(), reply);
        fleet.time.runFor(1_500);
    }

    @Test
    void anAcceptedVersionIsObeyedEverywhereSoon() {
        fleet.time.runFor(3_000);
        put(5);
        assertThat(confirmed).isEqualTo(5);
        assertThat(fleet.entries.values()).allMatch(entry -> entry.version == 5);
    }

    @Test
    void anOlderVersionIsAcknowledgedAndChangesNothing() {
        fleet.time.runFor(3_000);
        put(5);
        put(4);
        assertThat(confirmed).isEqualTo(5);
        assertThat(fleet.entries.values()).allMatch(entry -> entry.version == 5);
    }

    @Test
    void withoutAQuorumNobodyIsSure() {
        fleet.time.runFor(3_000);
        fleet.controls.get("control-0").process.crash();
        fleet.controls.get("control-1").process.crash();
        fleet.controls
                .get("control-2")
                .control
                .put(new PutConfiguration(5, new byte[0], Map.of()), reply);
        fleet.time.runFor(3_000);
        assertThat(unsure).isEqualTo(1);
        assertThat(confirmed).isEqualTo(-1);
    }

    @Test
    void whatWasAcknowledgedOutlivesTheDeathOfAllControlInstances() {
        fleet.time.runFor(3_000);
        put(9);
        fleet.controls.values().forEach(VirtualFleet.ControlLife::restart);
        fleet.time.runFor(3_000);
        confirmed = -1;
        fleet.controls.get("control-1").control.read(reply);
        fleet.time.runFor(1_500);
        assertThat(confirmed).isEqualTo(9);
    }

    @Test
    void anUpstreamThatLeavesIsKnownToAllEntryInstancesAtOnce() {
        fleet.time.runFor(3_000);
        put(1);
        Heartbeat ready =
                new Heartbeat(
                        "u1", "press", "10.0.1.1:80", "front-0", 4, UpstreamState.READY, 10, 1);
        fleet.controls.get("control-2").control.onHeartbeat(ready);
        fleet.time.runFor(100);
        fleet.controls.get("control-0").control.onDeparture("u1", 10);
        fleet.time.runFor(100);
        assertThat(fleet.entries.values())
                .allMatch(
                        entry ->
                                entry.upstreams.get(entry.upstreams.size() - 1).state()
                                        == UpstreamState.GONE);
    }
}
