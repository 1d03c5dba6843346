/**
 * Rules that operators define: grammar, parser, lookup and deltas between versions.
 *
 * <p>Rules are the text format of the daemon jayturnd. A customer's priority is from 0 (last) to 9
 * (first), the reverse of the order in {@code dev.jayturn.core.configuration}.
 */
@NullMarked
package dev.jayturn.core.rules;

import org.jspecify.annotations.NullMarked;
