/** Forwards callers' HTTP/1.1 requests to upstreams, and the responses to the callers. */
@NullMarked
package dev.jayturn.daemon.proxy;

import org.jspecify.annotations.NullMarked;
