package dev.jayturn.core.fleet;

import dev.jayturn.core.configuration.ConfigurationException;
import dev.jayturn.core.directory.DirectoryFreshness;
import dev.jayturn.core.directory.Heartbeat;
import java.util.List;

/**
 * Receives the changes that an entry instance learns from control instances and peers; every call
 * comes on the entry instance's own thread.
 */
public interface FleetListener extends DirectoryFreshness.Listener {
    /**
     * Called when a newer configuration comes into force.
     *
     * @throws ConfigurationException if it could not be applied; the one before stays in force
     */
    void onConfiguration(ConfigurationDocument document) throws ConfigurationException;

    /** Called when an upstream appeared, changed or left; may repeat a heartbeat. */
    void onUpstream(Heartbeat heartbeat);

    /** Called with all live entry instances, this one included, when they have changed. */
    void onPeers(List<Peer> peers);

    /**
     * Called when the leader has sent the state of slices, when another holder has sent tokens, and
     * at the end of each round of requests for tokens.
     */
    void onSlices();
}
