/**
 * Implementations of the timer, transport, journal and random interfaces in virtual time, for
 * scenarios and experiments that are reproducible from a seed.
 */
@NullMarked
package dev.jayturn.core.virtual;

import org.jspecify.annotations.NullMarked;
