package dev.jayturn.core.fleet;

/** Told what became of an operator's call. */
public interface ConfigurationReply {
    /** The document is the newest that a quorum has accepted, at the time of the call or later. */
    void confirmed(ConfigurationDocument document);

    /** No quorum confirmed anything; a change may still come into force. */
    void unsure();
}
