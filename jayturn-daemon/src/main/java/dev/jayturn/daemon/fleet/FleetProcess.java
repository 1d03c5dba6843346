package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import java.util.Set;

/** A process whose settings may change while it runs. */
public interface FleetProcess {
    /**
     * Applies changed settings; call on the event loop.
     *
     * @param keys settings whose values differ
     * @return those of the keys that take effect at once; the others do at the next start
     */
    Set<SettingKey> applySettings(Settings changed, Set<SettingKey> keys);
}
