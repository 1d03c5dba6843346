package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import dev.jayturn.daemon.settings.SettingsWatcher;
import java.util.EnumSet;
import java.util.Set;

/** Hands changed settings to a process and logs which ones are in force. */
public final class SettingsApplier implements SettingsWatcher.Listener {
    private final FleetProcess process;
    private final EventLog log;

    /** Creates a listener for one process. */
    public SettingsApplier(FleetProcess process, EventLog log) {
        this.process = process;
        this.log = log;
    }

    @Override
    public void onChanged(Settings settings, Set<SettingKey> keys) {
        Set<SettingKey> obeyed = EnumSet.noneOf(SettingKey.class);
        obeyed.addAll(process.applySettings(settings, keys));
        if (keys.contains(SettingKey.LOG_LINES_PER_SECOND)) {
            log.setLinesPerSecond((int) settings.number(SettingKey.LOG_LINES_PER_SECOND));
            obeyed.add(SettingKey.LOG_LINES_PER_SECOND);
        }
        for (SettingKey key : keys) {
            log.event(
                    "settings.changed",
                    json -> {
                        json.writeStringField("key", key.section() + '.' + key.key());
                        json.writeStringField("value", settings.text(key));
                        json.writeBooleanField("obeyed", obeyed.contains(key));
                    });
        }
    }

    @Override
    public void onRejected(Exception reason) {
        log.event(
                "settings.refused",
                json -> json.writeStringField("reason", String.valueOf(reason.getMessage())));
    }
}
