package dev.jayturn.daemon.fleet;

import dev.jayturn.core.configuration.Configuration;
import dev.jayturn.core.configuration.ConfigurationException;

/** Reads the operators' configuration documents. */
public interface ConfigurationCodec {
    /**
     * Reads a document; what it contradicts itself in is for the caller to check.
     *
     * @throws ConfigurationException if it cannot be read in full
     */
    Configuration decode(byte[] document) throws ConfigurationException;
}
