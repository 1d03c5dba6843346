package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import dev.jayturn.core.quarantine.CutOff;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Evidence on a request that crashes upstreams, while all instances are restarted in series. */
final class RestartedEvidenceTest {
    private static final String REQUEST = "bad";
    private static final int ENTRIES = 3;
    private static final int SEEDS = 20;
    private static final int CRASHES = 3;
    private static final int CRASH_INTERVAL_MILLIS = 600;
    private static final int RUN_MILLIS = 80;
    private static final int SETTLE_MILLIS = 4_000;

    /** More than the interval at which evidence is sent again. */
    private static final int MAX_PHASE_MILLIS = 2_000;

    private VirtualFleet fleet;

    private void crash(VirtualEntry entry, int number) {
        long sent = fleet.time.nowMillis();
        entry.process.schedule(
                RUN_MILLIS,
                () ->
                        entry.quarantine.onCutOff(
                                new CutOff(
                                        REQUEST,
                                        List.of(),
                                        "upstream-" + number,
                                        true,
                                        RUN_MILLIS,
                                        sent)));
        fleet.time.runFor(CRASH_INTERVAL_MILLIS);
    }

    private boolean isRefusedAtAll() {
        return fleet.entries.values().stream()
                .allMatch(entry -> entry.quarantine.refusalMillis(List.of(REQUEST)) > 0);
    }

    /** Guards against a verdict that is lost though some instance has run all the while. */
    @ParameterizedTest
    @ValueSource(ints = {300, 400, 600, 1_000, 1_500, 2_000, 3_000})
    void verdictOutlivesTheRestartOfAllInstancesOneAfterAnother(int intervalMillis) {
        List<Integer> lost = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            fleet = new VirtualFleet(seed, 3, ENTRIES);
            fleet.time.runFor(3_000);
            for (int i = 0; i < CRASHES; i++) {
                crash(fleet.entries.get("entry-" + i % ENTRIES), i);
            }
            fleet.time.runFor(SETTLE_MILLIS + fleet.random.nextInt(MAX_PHASE_MILLIS));
            assertThat(isRefusedAtAll()).isTrue();
            fleet.controls.values().forEach(VirtualControl::restart);
            for (VirtualEntry entry : List.copyOf(fleet.entries.values())) {
                fleet.time.runFor(intervalMillis);
                entry.process.crash();
                fleet.entries.put(entry.name, fleet.new VirtualEntry(entry.name, "boot-1"));
            }
            fleet.time.runFor(SETTLE_MILLIS);
            if (!isRefusedAtAll()) {
                lost.add(seed);
            }
        }
        assertThat(lost).isEmpty();
    }
}
