package dev.jayturn.core.resumption;

import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * Asks a control instance for the origins of streams.
 *
 * @param from address that the answer is sent to
 * @param streams ids of the streams, see {@link StreamId}
 */
public record OriginQuery(String from, List<Long> streams) implements Message {}
