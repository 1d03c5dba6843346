package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;

/**
 * Answers a {@link ConfigurationCall}.
 *
 * @param id id of the call
 * @param sure whether a quorum confirmed that the version is the newest
 * @param version version of the configuration in force at the sender
 * @param document that configuration if the call was a read, otherwise empty
 * @param from instance that answers; empty in answers of instances that do not send it
 */
public record ConfigurationAnswer(long id, boolean sure, long version, byte[] document, String from)
        implements Message {}
