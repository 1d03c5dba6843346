/**
 * Directory of the upstreams: the newest heartbeat of each, which control instances distribute to
 * entry instances.
 */
@NullMarked
package dev.jayturn.core.directory;

import org.jspecify.annotations.NullMarked;
