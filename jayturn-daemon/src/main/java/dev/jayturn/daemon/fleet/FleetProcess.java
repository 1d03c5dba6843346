package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import java.util.Set;

/** A process whose settings may change while it runs. */
public interface FleetProcess {
    /**
     * Takes changed settings; call on the event loop.
     *
     * @param keys those whose values differ
     * @return those of them that are in force from now on; the others are at the next start
     */
    Set<SettingKey> applySettings(Settings changed, Set<SettingKey> keys);
}
