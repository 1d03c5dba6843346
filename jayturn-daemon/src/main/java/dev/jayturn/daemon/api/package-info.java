/** Serves HTTP requests with bounded bodies, one request of a connection at a time. */
@NullMarked
package dev.jayturn.daemon.api;

import org.jspecify.annotations.NullMarked;
