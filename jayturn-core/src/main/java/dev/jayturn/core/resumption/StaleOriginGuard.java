package dev.jayturn.core.resumption;

import dev.jayturn.core.directory.DirectoryFreshness;
import java.util.function.LongSupplier;

/**
 * Corrects the origins that an instance recorded while it did not know the upstreams as they were:
 * if one of them has come back with another version meanwhile, it may have begun streams that were
 * recorded under the earlier one.
 */
public final class StaleOriginGuard implements DirectoryFreshness.Listener {
    private final StreamOrigins origins;
    private final LongSupplier versionChanges;
    private long knownChanges;

    /**
     * Creates a guard.
     *
     * @param versionChanges number of times that an upstream has changed its version
     */
    public StaleOriginGuard(StreamOrigins origins, LongSupplier versionChanges) {
        this.origins = origins;
        this.versionChanges = versionChanges;
    }

    @Override
    public void onDirectoryOutdated() {
        knownChanges = versionChanges.getAsLong();
        origins.hold();
    }

    @Override
    public void onDirectoryCurrent(long sinceMillis) {
        boolean hasChanged = versionChanges.getAsLong() != knownChanges;
        origins.release(hasChanged ? sinceMillis : Long.MAX_VALUE);
    }
}
