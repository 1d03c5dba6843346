/** State charts loaded from files, and the interpreter that runs them. */
@NullMarked
package dev.jayturn.core.chart;

import org.jspecify.annotations.NullMarked;
