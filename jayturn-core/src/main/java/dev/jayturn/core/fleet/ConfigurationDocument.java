package dev.jayturn.core.fleet;

/**
 * A configuration as the operator sent it.
 *
 * @param version 0 before the first configuration
 * @param document the compressed configuration
 */
public record ConfigurationDocument(long version, byte[] document) {
    /** The value before the first configuration arrives. */
    public static final ConfigurationDocument NONE = new ConfigurationDocument(0, new byte[0]);
}
