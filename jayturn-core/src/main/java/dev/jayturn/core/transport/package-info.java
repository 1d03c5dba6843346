/** Messages between instances, their addresses, and the interface that sends them. */
@NullMarked
package dev.jayturn.core.transport;

import org.jspecify.annotations.NullMarked;
