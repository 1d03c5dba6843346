/** Metrics of the daemon and of fleet processes. */
@NullMarked
package dev.jayturn.daemon.metrics;

import org.jspecify.annotations.NullMarked;
