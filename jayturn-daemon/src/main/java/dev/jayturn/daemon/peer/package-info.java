/** Transport of messages between instances over gRPC. */
@NullMarked
package dev.jayturn.daemon.peer;

import org.jspecify.annotations.NullMarked;
