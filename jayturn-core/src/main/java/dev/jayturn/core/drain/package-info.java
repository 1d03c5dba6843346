/**
 * Planned stops of entry instances.
 *
 * <p>{@link dev.jayturn.core.drain.DrainAdmission} decides which requests an instance that is about
 * to stop still takes. Times are in milliseconds on the clock of the caller.
 */
@NullMarked
package dev.jayturn.core.drain;

import org.jspecify.annotations.NullMarked;
