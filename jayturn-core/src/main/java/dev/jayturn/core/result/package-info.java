/** Numbered result codes, and refusals that carry them. */
@NullMarked
package dev.jayturn.core.result;

import org.jspecify.annotations.NullMarked;
