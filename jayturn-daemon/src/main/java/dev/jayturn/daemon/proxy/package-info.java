/** Forwards callers' HTTP/1.1 requests to upstreams and their answers back. */
@NullMarked
package dev.jayturn.daemon.proxy;

import org.jspecify.annotations.NullMarked;
