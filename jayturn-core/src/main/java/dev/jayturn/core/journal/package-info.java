/** The append-only journal that stores durable state. */
@NullMarked
package dev.jayturn.core.journal;

import org.jspecify.annotations.NullMarked;
