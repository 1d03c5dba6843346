package dev.jayturn.core.loadview;

import dev.jayturn.core.transport.Message;

/**
 * The work that an instance has in flight at the upstreams of one group, sent to the holder of a
 * round. A holder answers each report of its round with a {@link WorkSum}.
 *
 * @param parts number of groups that the sender divides the upstreams into
 * @param list hash of the upstreams of the group, as the sender knows them
 * @param work work at upstreams, by their keys; see {@link WorkCodec}
 */
public record WorkReport(String from, int group, int parts, long round, int list, byte[] work)
        implements Message {}
