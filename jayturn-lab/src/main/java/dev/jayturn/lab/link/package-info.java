/** A TCP forwarder that simulates a slow link between data centres and can cut it. */
@NullMarked
package dev.jayturn.lab.link;

import org.jspecify.annotations.NullMarked;
