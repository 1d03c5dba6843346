/**
 * HTTP exchanges with upstreams over pooled connections.
 *
 * <p>Runs in the daemon jayturnd, together with {@code http} and {@code peer}; the platform's entry
 * and control processes use {@code proxy}, {@code link} and {@code fleet} instead.
 */
@NullMarked
package dev.jayturn.daemon.upstream;

import org.jspecify.annotations.NullMarked;
