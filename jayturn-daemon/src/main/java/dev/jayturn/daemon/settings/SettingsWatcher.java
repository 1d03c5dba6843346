package dev.jayturn.daemon.settings;

import dev.jayturn.core.timer.TimerService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;

/**
 * Reads a settings file again when a signal says so, and every few seconds for changes that nobody
 * announced. A file that cannot be used changes nothing.
 */
public final class SettingsWatcher {
    /** Time between two looks at the file, in milliseconds; a change unsaid may wait so long. */
    private static final long POLL_INTERVAL_MILLIS = 2_000;

    private final Path file;
    private Settings current;
    private String lastText;

    /** Told what a reading found; called on the thread of the timers. */
    public interface Listener {
        /** Some settings have new values. */
        void onChanged(Settings settings, Set<SettingKey> keys);

        /** The file cannot be used; what held before still does. */
        void onRejected(Exception reason);
    }

    /**
     * Reads the file for the first time.
     *
     * @throws IOException if it cannot be read
     * @throws SettingsException if it is malformed
     */
    public SettingsWatcher(Path file) throws IOException, SettingsException {
        this.file = file;
        this.lastText = Files.readString(file);
        this.current = Settings.parse(file.toString(), lastText);
    }

    /** Begins to look at the file from time to time. */
    public void start(TimerService timers, Listener listener) {
        timers.every(POLL_INTERVAL_MILLIS, () -> reload(listener));
    }

    /** Returns the settings in force. */
    public Settings settings() {
        return current;
    }

    /** Reads the file now. */
    public void reload(Listener listener) {
        try {
            String found = Files.readString(file);
            if (found.equals(lastText)) {
                return;
            }
            lastText = found;
            Settings read = Settings.parse(file.toString(), found);
            Set<SettingKey> keys = EnumSet.noneOf(SettingKey.class);
            for (SettingKey key : SettingKey.values()) {
                if (!read.text(key).equals(current.text(key))) {
                    keys.add(key);
                }
            }
            current = read;
            if (!keys.isEmpty()) {
                listener.onChanged(read, keys);
            }
        } catch (IOException | SettingsException e) {
            listener.onRejected(e);
        }
    }
}
