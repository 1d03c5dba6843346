package dev.jayturn.daemon.settings;

import dev.jayturn.core.timer.TimerService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;

/**
 * Reloads a settings file on request and polls it for changes that no signal announced. An
 * unreadable or invalid file changes nothing.
 */
public final class SettingsWatcher {
    /** Poll interval, the longest delay of a change that no signal announced. */
    private static final long POLL_INTERVAL_MILLIS = 2_000;

    private final Path file;
    private Settings current;
    private String lastText;

    /** Receives the outcome of a reload, on the timers' thread or that of the caller. */
    public interface Listener {
        /** Called when some settings have new values. */
        void onChanged(Settings settings, Set<SettingKey> keys);

        /** Called if the file is unreadable or invalid; the previous settings stay in force. */
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

    /** Starts to poll the file. */
    public void start(TimerService timers, Listener listener) {
        timers.every(POLL_INTERVAL_MILLIS, () -> reload(listener));
    }

    /** Returns the settings in force. */
    public Settings settings() {
        return current;
    }

    /** Reloads the file now and reports changes or a rejection to the listener. */
    public void reload(Listener listener) {
        try {
            String newText = Files.readString(file);
            if (newText.equals(lastText)) {
                return;
            }
            lastText = newText;
            Settings newSettings = Settings.parse(file.toString(), newText);
            Set<SettingKey> keys = EnumSet.noneOf(SettingKey.class);
            for (SettingKey key : SettingKey.values()) {
                if (!newSettings.text(key).equals(current.text(key))) {
                    keys.add(key);
                }
            }
            current = newSettings;
            if (!keys.isEmpty()) {
                listener.onChanged(newSettings, keys);
            }
        } catch (IOException | SettingsException e) {
            listener.onRejected(e);
        }
    }
}
