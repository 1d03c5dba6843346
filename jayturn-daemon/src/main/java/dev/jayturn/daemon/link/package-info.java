/**
 * Messages between instances over TCP connections, with pings that detect broken ones.
 *
 * <p>Runs in the platform's entry and control processes, together with {@code proxy} and {@code
 * fleet}; the daemon jayturnd uses {@code http}, {@code upstream} and {@code peer} instead. A link
 * is a connection between instances, except in {@link LinkMeter}, where it is the network link of
 * the instance.
 */
@NullMarked
package dev.jayturn.daemon.link;

import org.jspecify.annotations.NullMarked;
