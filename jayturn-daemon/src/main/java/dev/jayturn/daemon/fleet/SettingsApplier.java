package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import dev.jayturn.daemon.settings.SettingsWatcher;
import java.util.EnumSet;
import java.util.Set;

/** Applies changed settings to a process and logs which of them took effect. */
public final class SettingsApplier implements SettingsWatcher.Listener {
    private final FleetProcess process;
    private final EventLog log;

    /** Creates a listener that applies settings to one process. */
    public SettingsApplier(FleetProcess process, EventLog log) {
        this.process = process;
        this.log = log;
    }

    @Override
    public void onChanged(Settings settings, Set<SettingKey> keys) {
        Set<SettingKey> applied = EnumSet.noneOf(SettingKey.class);
        applied.addAll(process.applySettings(settings, keys));
        if (keys.contains(SettingKey.LOG_LINES_PER_SECOND)) {
            log.setLinesPerSecond((int) settings.number(SettingKey.LOG_LINES_PER_SECOND));
            applied.add(SettingKey.LOG_LINES_PER_SECOND);
        }
        for (SettingKey key : keys) {
            log.event(
                    "settings.changed",
                    json -> {
                        json.writeStringField("key", key.section() + '.' + key.key());
                        json.writeStringField("value", settings.text(key));
                        json.writeBooleanField("obeyed", applied.contains(key));
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
