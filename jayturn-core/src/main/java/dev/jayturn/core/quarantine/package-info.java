/**
 * Finds requests and prompt parts that make upstreams crash, and refuses them.
 *
 * <p>Times are milliseconds of an instance's own monotonic clock; messages carry ages instead. The
 * evidence comes from the entry instances, which see how responses end; control instances pass it
 * on. Nothing here throws checked exceptions.
 */
@NullMarked
package dev.jayturn.core.quarantine;

import org.jspecify.annotations.NullMarked;
