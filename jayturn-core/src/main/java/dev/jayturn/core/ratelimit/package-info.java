/**
 * Keeps the requests of all entry instances together within the rate that an upstream names.
 *
 * <p>Rates are requests per second, infinity where there is no limit. Times are milliseconds of an
 * instance's own monotonic clock; messages carry ages instead. The rates come from the responses of
 * upstreams; control instances pass them on. Nothing here throws checked exceptions.
 */
@NullMarked
package dev.jayturn.core.ratelimit;

import org.jspecify.annotations.NullMarked;
