package dev.jayturn.daemon.fleet;

import dev.jayturn.core.configuration.Configuration;
import dev.jayturn.core.configuration.ConfigurationException;

/** Decodes the operators' configuration documents. */
public interface ConfigurationCodec {
    /**
     * Decodes a document that an operator sends, without checking that its parts are consistent
     * with each other.
     *
     * @throws ConfigurationException if the document is malformed or incomplete, or if any field
     *     cannot be read as what it is for
     */
    Configuration decodeStrictly(byte[] document) throws ConfigurationException;

    /**
     * Decodes a document that was accepted, perhaps by a control instance of an older build,
     * without checking that its parts are consistent with each other.
     *
     * @throws ConfigurationException if the document is malformed or incomplete
     */
    Configuration decode(byte[] document) throws ConfigurationException;
}
