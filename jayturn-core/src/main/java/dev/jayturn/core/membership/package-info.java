/**
 * Membership of upstreams: control instances act as membership hubs, which keep a lease for each
 * upstream and send updates with changes of members and rules to the subscribed instances. Used
 * with {@code core.routing} by the daemon jayturnd, in which {@code core.request} handles the
 * requests; a platform deployment uses {@code core.directory} instead.
 */
@NullMarked
package dev.jayturn.core.membership;

import org.jspecify.annotations.NullMarked;
