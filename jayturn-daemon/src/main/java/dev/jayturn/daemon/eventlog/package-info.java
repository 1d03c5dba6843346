/** Structured log of decisions, limited in volume and never blocking a decision. */
@NullMarked
package dev.jayturn.daemon.eventlog;

import org.jspecify.annotations.NullMarked;
