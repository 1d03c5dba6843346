package dev.jayturn.core.membership;

import dev.jayturn.core.transport.Message;
import org.jspecify.annotations.Nullable;

/** Provides a hub with the rules version to publish and with updates to it. */
public interface RulesSource {
    /** Returns the newest version that may be published. */
    long version();

    /**
     * Returns the update from an older version to the newest that may be published; null if none is
     * available at present.
     */
    @Nullable Message updateFrom(long version);
}
