package dev.jayturn.core.evacuation;

import dev.jayturn.core.transport.Message;

/**
 * An operator's order that a control instance forwards to the leader.
 *
 * @param from instance that the answer is sent to
 * @param id identifies the call among those of all processes of its sender
 * @param dataCentre data centre that the order is about
 * @param emptied whether its upstreams get no more requests
 * @param revision revision of the set of emptied data centres at the sender
 */
public record EvacuationCall(
        String from, long id, String dataCentre, boolean emptied, long revision)
        implements Message {}
