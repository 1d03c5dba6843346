/**
 * Membership of upstreams: leases that control instances keep as membership hubs, and the updates
 * by which hubs distribute changes of members and rules to the subscribed instances.
 */
@NullMarked
package dev.jayturn.core.membership;

import org.jspecify.annotations.NullMarked;
