package dev.jayturn.core.evacuation;

import dev.jayturn.core.transport.Message;

/**
 * Answers an {@link EvacuationCall}.
 *
 * @param id id of the call
 * @param sure whether the order is committed at its place in the log
 * @param applied whether the state was as ordered after that entry; otherwise the order was based
 *     on an earlier revision
 * @param revision revision of the set at the sender
 * @param from instance that answers
 */
public record EvacuationAnswer(long id, boolean sure, boolean applied, long revision, String from)
        implements Message {}
