/** Structured log lines on decisions, bounded in volume and never in the way of a decision. */
@NullMarked
package dev.jayturn.daemon.eventlog;

import org.jspecify.annotations.NullMarked;
