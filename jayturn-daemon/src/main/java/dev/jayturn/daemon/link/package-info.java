/** Messages between instances over plain connections that find out when they go silent. */
@NullMarked
package dev.jayturn.daemon.link;

import org.jspecify.annotations.NullMarked;
