/** Encoding of messages and journal records, and the generated gRPC service. */
@NullMarked
package dev.jayturn.wire;

import org.jspecify.annotations.NullMarked;
