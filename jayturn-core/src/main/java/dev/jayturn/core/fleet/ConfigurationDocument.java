package dev.jayturn.core.fleet;

/**
 * A configuration as the operator sent it, compressed.
 *
 * @param version 0 if there is none yet
 */
public record ConfigurationDocument(long version, byte[] document) {
    /** Held before the first configuration arrives. */
    public static final ConfigurationDocument NONE = new ConfigurationDocument(0, new byte[0]);
}
