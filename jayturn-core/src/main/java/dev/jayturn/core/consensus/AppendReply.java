package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Message;

/**
 * Answers an {@link AppendRequest}.
 *
 * @param index on success the highest index known to match the leader's log; on failure a hint: the
 *     highest index that may match
 * @param round the round of the request
 * @param commandLevel highest level of the commands that the sender can apply; 0 from builds that
 *     do not name it
 */
public record AppendReply(
        String from,
        String to,
        long term,
        boolean success,
        long index,
        long round,
        int commandLevel)
        implements Message {
    /** Creates the answer of the receiver of a request. */
    static AppendReply to(AppendRequest request, long term, boolean success, long index) {
        return new AppendReply(
                request.to(),
                request.from(),
                term,
                success,
                index,
                request.round(),
                CommandLevel.CURRENT);
    }
}
