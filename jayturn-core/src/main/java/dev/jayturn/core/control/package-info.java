/** The replicated state machine of the control log: rules, credits, grants and claims. */
@NullMarked
package dev.jayturn.core.control;

import org.jspecify.annotations.NullMarked;
