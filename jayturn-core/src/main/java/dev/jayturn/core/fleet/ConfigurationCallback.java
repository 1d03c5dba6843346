package dev.jayturn.core.fleet;

/** Told what became of an operator's call. */
public interface ConfigurationCallback {
    /** The document is the newest that a quorum has accepted, at the time of the call or later. */
    void onConfirmed(ConfigurationDocument document);

    /** No quorum confirmed anything; a change may still come into force. */
    void onUnconfirmed();
}
