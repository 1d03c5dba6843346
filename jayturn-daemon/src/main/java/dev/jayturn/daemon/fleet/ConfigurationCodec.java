package dev.jayturn.daemon.fleet;

import dev.jayturn.core.configuration.Configuration;
import dev.jayturn.core.configuration.ConfigurationException;

/** Decodes the operators' configuration documents. */
public interface ConfigurationCodec {
    /**
     * Decodes a document without checking that its parts are consistent with each other.
     *
     * @throws ConfigurationException if the document is malformed or incomplete
     */
    Configuration decode(byte[] document) throws ConfigurationException;
}
