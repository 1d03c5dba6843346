package dev.jayturn.core.fleet;

import dev.jayturn.core.configuration.ConfigurationException;

/**
 * The version of the configuration that an entry instance has applied. A document that cannot be
 * applied does not count as held, so that control instances send it again: the cause may pass, such
 * as a lack of memory. It is tried again less and less often, since a large document that fails
 * each time would otherwise take the time of the requests.
 */
final class AppliedConfiguration {
    private static final long FIRST_RETRY_MILLIS = 500;
    private static final long MAX_RETRY_MILLIS = 8_000;

    private final FleetListener listener;
    private long version;
    private long newestVersion;
    private long failedVersion;
    private long retryIntervalMillis;
    private long retryAtMillis;

    AppliedConfiguration(FleetListener listener) {
        this.listener = listener;
    }

    /** Returns the version in force; 0 if there is none. */
    long version() {
        return version;
    }

    /** Returns the highest version that a control instance has named as being in force. */
    long newestVersion() {
        return newestVersion;
    }

    /** Returns whether a configuration is in force and no newer one could not be applied. */
    boolean isApplied() {
        return version > 0 && failedVersion <= version;
    }

    /** Records the version that a control instance names as being in force. */
    void onVersion(long named) {
        newestVersion = Math.max(newestVersion, named);
    }

    /** Applies a document if it is newer, unless it has failed and is not due to be tried again. */
    void onDocument(ConfigurationDocument document, long nowMillis) {
        boolean hasFailed = document.version() == failedVersion;
        if (document.version() <= version || (hasFailed && nowMillis < retryAtMillis)) {
            return;
        }
        try {
            listener.onConfiguration(document);
            version = document.version();
        } catch (ConfigurationException e) {
            // The listener has logged it.
            retryIntervalMillis =
                    hasFailed
                            ? Math.min(2 * retryIntervalMillis, MAX_RETRY_MILLIS)
                            : FIRST_RETRY_MILLIS;
            retryAtMillis = nowMillis + retryIntervalMillis;
            failedVersion = document.version();
        }
    }
}
