/**
 * Directory of the upstreams: the newest heartbeat of each, which control instances distribute to
 * entry instances. Used with {@code core.dispatch} by the entry and control instances of {@code
 * core.fleet}, in a platform deployment; the daemon jayturnd uses {@code core.membership} instead.
 */
@NullMarked
package dev.jayturn.core.directory;

import org.jspecify.annotations.NullMarked;
