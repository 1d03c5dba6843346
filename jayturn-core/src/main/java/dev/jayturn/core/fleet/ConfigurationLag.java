package dev.jayturn.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Watches which entry instances report an older configuration than the one in force, and for how
 * long. A change takes a few hundred milliseconds to arrive; an instance that stays behind has lost
 * its updates or cannot apply them.
 */
final class ConfigurationLag {
    /** Time for which an instance is behind before this is reported. */
    static final long REPORT_AFTER_MILLIS = 2_000;

    private final Map<String, Long> behindSinceMillis = new HashMap<>();
    private final Set<String> reported = new HashSet<>();
    private ConfigurationListener listener = ConfigurationListener.NONE;
    private OptionalLong lowestVersion = OptionalLong.empty();

    void setListener(ConfigurationListener newListener) {
        listener = newListener;
    }

    /** Returns the lowest version that a live entry instance reports; empty if there is none. */
    OptionalLong lowestVersion() {
        return lowestVersion;
    }

    /** Returns the number of live entry instances that report an older version. */
    int behindCount() {
        return behindSinceMillis.size();
    }

    /**
     * Applies the versions that the live entry instances report, by address.
     *
     * @param newest version in force at this control instance
     */
    void update(Map<String, Long> versions, long newest, long nowMillis) {
        lowestVersion = versions.values().stream().mapToLong(Long::longValue).min();
        behindSinceMillis.keySet().retainAll(versions.keySet());
        reported.retainAll(versions.keySet());
        versions.forEach((entry, version) -> updateEntry(entry, version, newest, nowMillis));
    }

    private void updateEntry(String entry, long version, long newest, long nowMillis) {
        if (version >= newest) {
            Long since = behindSinceMillis.remove(entry);
            if (reported.remove(entry) && since != null) {
                listener.onEntryCaughtUp(entry, version, nowMillis - since);
            }
            return;
        }
        long behindMillis = nowMillis - behindSinceMillis.computeIfAbsent(entry, e -> nowMillis);
        if (behindMillis >= REPORT_AFTER_MILLIS && reported.add(entry)) {
            listener.onEntryBehind(entry, version, newest, behindMillis);
        }
    }
}
