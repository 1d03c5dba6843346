/** HTTP APIs for operators and announcing upstreams. */
@NullMarked
package dev.jayturn.daemon.operator;

import org.jspecify.annotations.NullMarked;
