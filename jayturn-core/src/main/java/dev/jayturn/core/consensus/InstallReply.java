package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Message;

/**
 * Answers an {@link InstallChunk}.
 *
 * @param index index of the snapshot
 * @param nextOffset offset of the item expected next; more than the number of items once the
 *     snapshot is complete
 */
public record InstallReply(String from, String to, long term, long index, int nextOffset)
        implements Message {}
