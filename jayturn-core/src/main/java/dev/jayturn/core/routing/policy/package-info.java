/** Routing policies that rules can name. */
@NullMarked
package dev.jayturn.core.routing.policy;

import org.jspecify.annotations.NullMarked;
