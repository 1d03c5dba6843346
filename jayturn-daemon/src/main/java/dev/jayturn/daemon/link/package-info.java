/** Messages between instances over TCP connections, with pings that detect broken ones. */
@NullMarked
package dev.jayturn.daemon.link;

import org.jspecify.annotations.NullMarked;
