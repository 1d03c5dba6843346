package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Message;

/**
 * Answers an {@link AppendRequest}.
 *
 * @param index on success the highest index known to match the leader's log; on failure a hint: the
 *     highest index that may match
 * @param round the round of the request
 */
public record AppendReply(
        String from, String to, long term, boolean success, long index, long round)
        implements Message {}
