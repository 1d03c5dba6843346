package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An entry instance receives a configuration that it cannot apply, at first or ever. */
final class UnappliedConfigurationTest {
    private static final ConfigurationCallback IGNORED =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {}

                @Override
                public void onUnconfirmed() {}
            };

    private final VirtualFleet fleet = new VirtualFleet(7, 3, 4);
    private final VirtualEntry entry = fleet.entries.get("entry-1");

    @BeforeEach
    void putFirstVersion() {
        fleet.time.runFor(3_000);
        fleet.put(4, Map.of(), IGNORED);
        fleet.time.runFor(1_500);
        assertThat(entry.configurationVersion).isEqualTo(4);
        entry.documentsReceived = 0;
    }

    @Test
    void configurationThatCouldNotBeAppliedAtFirstIsAppliedLater() {
        entry.unappliedDocuments = document -> entry.documentsReceived <= 2;
        fleet.put(5, Map.of(), IGNORED);
        fleet.time.runFor(3_000);
        assertThat(entry.configurationVersion).isEqualTo(5);
        assertThat(entry.instance.isSynced()).isTrue();
    }

    @Test
    void instanceThatCannotApplyTheNewestConfigurationIsNotSynced() {
        entry.unappliedDocuments = document -> document.version() == 5;
        fleet.put(5, Map.of(), IGNORED);
        fleet.time.runFor(10_000);
        assertThat(entry.configurationVersion).isEqualTo(4);
        assertThat(entry.instance.configurationVersion()).isEqualTo(4);
        assertThat(entry.instance.isSynced()).isFalse();
        assertThat(fleet.controls.values()).allMatch(c -> c.instance.entriesBehind() == 1);
        fleet.put(6, Map.of(), IGNORED);
        fleet.time.runFor(1_500);
        assertThat(entry.configurationVersion).isEqualTo(6);
        assertThat(entry.instance.isSynced()).isTrue();
    }

    @Test
    void configurationThatCannotBeAppliedIsTriedAgainLessAndLessOften() {
        entry.unappliedDocuments = document -> document.version() == 5;
        fleet.put(5, Map.of(), IGNORED);
        fleet.time.runFor(60_000);
        assertThat(entry.documentsReceived).isBetween(1, 20);
    }
}
