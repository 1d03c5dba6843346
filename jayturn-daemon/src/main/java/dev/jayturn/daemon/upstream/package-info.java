/** HTTP exchanges with upstreams over pooled connections. */
@NullMarked
package dev.jayturn.daemon.upstream;

import org.jspecify.annotations.NullMarked;
