/** Placement of models on runners, with fencing of outdated orders. */
@NullMarked
package dev.jayturn.core.placement;

import org.jspecify.annotations.NullMarked;
