/** HTTP server for callers and the calls that it forwards to upstreams. */
@NullMarked
package dev.jayturn.daemon.http;

import org.jspecify.annotations.NullMarked;
