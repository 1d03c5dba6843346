/**
 * HTTP server for callers and the calls that it forwards to upstreams.
 *
 * <p>Runs in the daemon jayturnd, together with {@code upstream} and {@code peer}; the platform's
 * entry and control processes use {@code proxy}, {@code link} and {@code fleet} instead.
 */
@NullMarked
package dev.jayturn.daemon.http;

import org.jspecify.annotations.NullMarked;
