package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Propagation of upstream changes to entry instances, and how often each change is sent. */
final class UpstreamPropagationTest {
    private static final int CONTROLS = 3;
    private static final int UPSTREAMS = 40;
    private static final double LOSS_RATE = 0.2;

    private static VirtualFleet startFleet(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, CONTROLS, 4);
        fleet.network.setFaults(0, 0, 0);
        fleet.time.runFor(3_000);
        return fleet;
    }

    private static void registerUpstreams(VirtualFleet fleet) {
        for (int i = 0; i < UPSTREAMS; i++) {
            Heartbeat ready =
                    new Heartbeat(
                            "u" + i,
                            "press",
                            "10.0.1." + i + ":80",
                            "front-0",
                            4,
                            UpstreamState.READY,
                            10,
                            1,
                            "v1");
            VirtualFleet.VirtualControl control = fleet.controls.get("control-" + i % CONTROLS);
            control.process.run(() -> control.instance.onHeartbeat(ready));
            fleet.time.runFor(20);
        }
    }

    private static Map<String, Integer> countById(List<Heartbeat> heartbeats) {
        Map<String, Integer> counts = new HashMap<>();
        heartbeats.forEach(heartbeat -> counts.merge(heartbeat.id(), 1, Integer::sum));
        return counts;
    }

    @Test
    void eachControlInstanceSendsAChangeOnce() {
        VirtualFleet fleet = startFleet(7);
        registerUpstreams(fleet);
        fleet.time.runFor(5_000);
        for (VirtualFleet.VirtualEntry entry : fleet.entries.values()) {
            assertThat(countById(entry.upstreamHeartbeats))
                    .hasSize(UPSTREAMS)
                    .allSatisfy((id, count) -> assertThat(count).isLessThanOrEqualTo(CONTROLS));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void changesInALostMessageAreSentAgain(long seed) {
        VirtualFleet fleet = startFleet(seed);
        fleet.network.setFaults(LOSS_RATE, 0, 30);
        registerUpstreams(fleet);
        fleet.network.setFaults(0, 0, 3);
        fleet.time.runFor(5_000);
        for (VirtualFleet.VirtualEntry entry : fleet.entries.values()) {
            assertThat(countById(entry.upstreamHeartbeats)).hasSize(UPSTREAMS);
        }
    }
}
