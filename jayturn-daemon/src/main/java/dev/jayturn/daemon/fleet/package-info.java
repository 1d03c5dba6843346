/**
 * The processes of a platform deployment: entry instances and control instances.
 *
 * <p>They use {@code proxy} and {@code link}; the daemon jayturnd uses {@code http}, {@code
 * upstream} and {@code peer} instead.
 */
@NullMarked
package dev.jayturn.daemon.fleet;

import org.jspecify.annotations.NullMarked;
