package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;

/**
 * Answers {@link ConfigurationCall}.
 *
 * @param sure whether the version was confirmed as the newest by a quorum
 */
public record ConfigurationAnswer(long id, boolean sure, long version, byte[] document)
        implements Message {}
