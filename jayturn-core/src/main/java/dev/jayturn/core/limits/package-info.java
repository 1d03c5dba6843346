/** Admission limits of an instance: per customer and by the load of its network link. */
@NullMarked
package dev.jayturn.core.limits;

import org.jspecify.annotations.NullMarked;
