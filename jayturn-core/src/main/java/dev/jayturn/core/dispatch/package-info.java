/**
 * Dispatch of requests at an entry instance: selects an upstream or refuses the request, and tracks
 * the load and health of upstreams from the outcomes.
 */
@NullMarked
package dev.jayturn.core.dispatch;

import org.jspecify.annotations.NullMarked;
