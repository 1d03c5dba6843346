package dev.jayturn.core.loadview;

import dev.jayturn.core.transport.Message;

/**
 * The work of all instances that reported in a round, the receiver included, at the upstreams of
 * one group.
 *
 * @param newest newest round that the holder knows of
 * @param list hash of the upstreams whose work follows in order of their keys; 0 if the work is
 *     written with keys
 * @param reports number of reports that were added up
 * @param work work at upstreams; see {@link WorkCodec}
 */
public record WorkSum(
        int group, int parts, long round, long newest, int list, int reports, byte[] work)
        implements Message {}
