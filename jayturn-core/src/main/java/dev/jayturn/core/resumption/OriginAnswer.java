package dev.jayturn.core.resumption;

import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * Answers an {@link OriginQuery}.
 *
 * @param from address of the control instance
 * @param known the streams that it has a record of
 * @param missing ids of the streams that it has no record of
 */
public record OriginAnswer(String from, List<OriginRecord> known, List<Long> missing)
        implements Message {}
