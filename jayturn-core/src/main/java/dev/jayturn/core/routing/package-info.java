/** Selection of an upstream for a request. */
@NullMarked
package dev.jayturn.core.routing;

import org.jspecify.annotations.NullMarked;
