package dev.jayturn.core.membership;

import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * The changes from one version of the membership list to another. An update from version 0 contains
 * the full list.
 *
 * @param changed upstreams that were added or changed
 * @param gone ids of the upstreams whose leases expired
 * @param settled whether the hub has been running for longer than a lease, so that upstreams
 *     missing from its full list are gone
 */
public record MembersUpdate(
        String hub,
        long epoch,
        long fromVersion,
        long toVersion,
        List<Upstream> changed,
        List<String> gone,
        List<LoadReport> loads,
        boolean settled)
        implements Message {}
