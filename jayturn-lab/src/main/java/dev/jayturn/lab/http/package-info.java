/** The HTTP server and the announcement client that the simulated upstreams share. */
@NullMarked
package dev.jayturn.lab.http;

import org.jspecify.annotations.NullMarked;
