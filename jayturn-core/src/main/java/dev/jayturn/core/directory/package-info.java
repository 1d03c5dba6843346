/** Which upstreams there are: heartbeats in order, shared by control instances with entries. */
@NullMarked
package dev.jayturn.core.directory;

import org.jspecify.annotations.NullMarked;
