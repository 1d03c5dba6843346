package dev.jayturn.core.fleet;

/** Receives the outcome of an operator's call. */
public interface ConfigurationCallback {
    /**
     * Called once a quorum has confirmed the call.
     *
     * @param document the newest document that a quorum had accepted at the time of the call, or a
     *     later one; empty if the call put a configuration in force
     */
    void onConfirmed(ConfigurationDocument document);

    /** Called if no quorum confirmed the call in time; its change may still come into force. */
    void onUnconfirmed();
}
