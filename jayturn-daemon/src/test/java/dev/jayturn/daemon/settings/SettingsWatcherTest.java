package dev.jayturn.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SettingsWatcherTest {
    private static final String INITIAL_TEXT = "[fleet]\nseeds = 10.0.0.1:80\n";
    private static final String CHANGED_TEXT = "[fleet]\nseeds = 10.0.0.2:80\n";

    @TempDir Path folder;

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("p:1", time, new VirtualNetwork(time, new Random(1)));
    private final List<Set<SettingKey>> changes = new ArrayList<>();
    private final List<Exception> rejections = new ArrayList<>();
    private final SettingsWatcher.Listener listener =
            new SettingsWatcher.Listener() {
                @Override
                public void onChanged(Settings settings, Set<SettingKey> keys) {
                    changes.add(keys);
                }

                @Override
                public void onRejected(Exception reason) {
                    rejections.add(reason);
                }
            };
    private Path file;
    private SettingsWatcher watcher;

    @BeforeEach
    void startWatcher() throws IOException, SettingsException {
        file = folder.resolve("jayturn.ini");
        Files.writeString(file, INITIAL_TEXT);
        watcher = new SettingsWatcher(file);
        watcher.start(process, listener);
    }

    @Test
    void changeWithoutASignalIsFoundByPolling() throws IOException {
        Files.writeString(file, CHANGED_TEXT);
        time.runFor(3_000);
        assertThat(changes).containsExactly(Set.of(SettingKey.FLEET_SEEDS));
        assertThat(watcher.settings().text(SettingKey.FLEET_SEEDS)).isEqualTo("10.0.0.2:80");
    }

    @Test
    void reloadAppliesAChangeAtOnceAndOnlyOnce() throws IOException {
        Files.writeString(file, CHANGED_TEXT);
        watcher.reload(listener);
        assertThat(changes).containsExactly(Set.of(SettingKey.FLEET_SEEDS));
        time.runFor(10_000);
        assertThat(changes).hasSize(1);
    }

    @Test
    void invalidFileKeepsTheSettingsAndIsReportedOnce() throws IOException {
        Files.writeString(file, "[fleet]\nretry-window = never\n");
        time.runFor(10_000);
        assertThat(changes).isEmpty();
        assertThat(rejections).hasSize(1);
        assertThat(rejections.get(0)).hasMessageContaining("line 2");
        assertThat(watcher.settings().text(SettingKey.FLEET_SEEDS)).isEqualTo("10.0.0.1:80");
        Files.writeString(file, CHANGED_TEXT);
        time.runFor(3_000);
        assertThat(changes).hasSize(1);
    }
}
