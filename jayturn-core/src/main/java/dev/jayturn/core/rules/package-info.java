/** Rules that operators define: grammar, parser, lookup and deltas between versions. */
@NullMarked
package dev.jayturn.core.rules;

import org.jspecify.annotations.NullMarked;
