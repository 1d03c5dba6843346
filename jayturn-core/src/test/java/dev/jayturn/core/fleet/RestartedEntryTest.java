package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against instances that know no upstreams for seconds after they lost power. */
final class RestartedEntryTest {
    private static final int UPSTREAMS = 6;
    private static final int CONTROLS = 3;

    /** A report that shows that nothing has arrived, and two messages to and fro. */
    private static final long MAX_MILLIS = 1_000;

    /** The instances show what came into force. */
    private static final ConfigurationCallback IGNORED =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {}

                @Override
                public void onUnconfirmed() {}
            };

    @ParameterizedTest
    @CsvSource({"6, 1", "6, 2", "30, 3", "100, 4"})
    void instancesThatLostPowerKnowTheUpstreamsWithinASecond(int entries, long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, CONTROLS, entries);
        fleet.network.setFaults(0, 0, 5);
        fleet.time.runFor(3_000);
        fleet.put(1, Map.of(), IGNORED);
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
            fleet.controls.get("control-0").instance.onHeartbeat(ready);
        }
        fleet.time.runFor(3_000);
        List<VirtualEntry> all = new ArrayList<>(fleet.entries.values());
        all.forEach(entry -> entry.process.crash());
        fleet.time.runFor(1_000);
        for (VirtualEntry entry : all) {
            fleet.network.breakConnectionsTo(entry.name);
            fleet.entries.put(entry.name, fleet.new VirtualEntry(entry.name, "boot-1"));
        }
        fleet.time.runFor(MAX_MILLIS);
        for (VirtualEntry entry : fleet.entries.values()) {
            assertThat(entry.upstreams.ofService("press")).hasSize(UPSTREAMS);
            assertThat(entry.configurationVersion).isEqualTo(1);
        }
    }
}
