/**
 * Selection of an upstream for a request. Used with {@code core.membership} by the daemon jayturnd,
 * through {@code core.request}; a platform deployment uses {@code core.dispatch} instead.
 */
@NullMarked
package dev.jayturn.core.routing;

import org.jspecify.annotations.NullMarked;
