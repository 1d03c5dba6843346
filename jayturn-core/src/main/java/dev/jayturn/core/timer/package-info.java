/** The timer service and the wall clock, the only sources of time. */
@NullMarked
package dev.jayturn.core.timer;

import org.jspecify.annotations.NullMarked;
