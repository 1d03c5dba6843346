package dev.jayturn.core.evacuation;

import dev.jayturn.core.consensus.Command;

/**
 * Command that empties a data centre or takes it back. It has no effect if another order came
 * between, so that one that is delayed on its way does not undo a later one.
 *
 * @param dataCentre data centre that the order is about
 * @param emptied whether its upstreams get no more requests
 * @param revision revision of the emptied data centres that the order is based on
 */
public record EvacuationOrder(String dataCentre, boolean emptied, long revision)
        implements Command {}
