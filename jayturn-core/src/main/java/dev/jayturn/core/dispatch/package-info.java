/**
 * Dispatch of requests at an entry instance: selects an upstream or refuses the request, and tracks
 * the load and health of upstreams from the outcomes. Used with {@code core.directory} by the entry
 * instances of {@code core.fleet}, in a platform deployment; the daemon jayturnd selects upstreams
 * with {@code core.routing} instead.
 */
@NullMarked
package dev.jayturn.core.dispatch;

import org.jspecify.annotations.NullMarked;
