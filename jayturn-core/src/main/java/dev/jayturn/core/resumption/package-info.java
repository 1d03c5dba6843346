/**
 * Keeps each stream at the software version that began it.
 *
 * <p>Upstreams of several versions may serve one service at a time, and the events of two versions
 * do not fit together. A stream is resumed only where its version is known to serve; if the version
 * is not known, the resumption is refused.
 *
 * <p>Times are milliseconds of an instance's own monotonic clock; messages carry durations instead.
 * Versions come from the upstreams' heartbeats and have no order. Nothing here throws checked
 * exceptions.
 */
@NullMarked
package dev.jayturn.core.resumption;

import org.jspecify.annotations.NullMarked;
