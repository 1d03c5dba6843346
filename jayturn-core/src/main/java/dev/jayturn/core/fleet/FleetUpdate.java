package dev.jayturn.core.fleet;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.slice.SliceGrant;
import dev.jayturn.core.transport.Message;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * An update that a control instance sends to an entry instance, in answer to a report or as soon as
 * something changes.
 *
 * @param from link address of the control instance
 * @param holder incarnation of the entry instance that the update is for; others ignore it
 * @param retired whether that incarnation was retired, so that the entry instance has to start
 *     another one
 * @param leader link address of the leader; empty if none is known
 * @param controls link addresses of all control instances
 * @param peers the live entry instances; sent by the leader only, and only if the entry instance
 *     knows a different list
 * @param entries number of live entry instances, with those that are not in the stable list yet
 * @param version version of the configuration in force at the sender
 * @param document the configuration if the entry instance lacks it
 * @param tableEpoch epoch of the sender's upstream table, different after each restart
 * @param tableSince revision of the table after which the changes were made
 * @param tableRevision revision of the table after the changes
 * @param upstreams upstreams that changed between the two revisions
 * @param leaseKept whether a lease of the holder is in the log; until then the holder draws no more
 *     than its marks, even after its promise ends
 * @param grants slices; sent by the leader only
 * @param answeredMillis when the entry instance sent the last report that the sender had got, on
 *     the monotonic clock of the entry instance, in milliseconds; 0 if that is not known
 * @param evacuationRevision index of the last order about emptied data centres that the sender has
 *     applied
 * @param emptied the emptied data centres; null in updates of instances that do not send them
 */
public record FleetUpdate(
        String from,
        String holder,
        boolean retired,
        String leader,
        List<String> controls,
        @Nullable List<Peer> peers,
        int entries,
        long version,
        byte @Nullable [] document,
        long tableEpoch,
        long tableSince,
        long tableRevision,
        List<Heartbeat> upstreams,
        boolean leaseKept,
        List<SliceGrant> grants,
        long answeredMillis,
        long evacuationRevision,
        @Nullable List<String> emptied)
        implements Message {}
