/**
 * Forwards callers' HTTP/1.1 requests to upstreams, and the responses to the callers.
 *
 * <p>Runs in the platform's entry processes, together with {@code link} and {@code fleet}; the
 * daemon jayturnd uses {@code http}, {@code upstream} and {@code peer} instead.
 */
@NullMarked
package dev.jayturn.daemon.proxy;

import org.jspecify.annotations.NullMarked;
