/** Benchmarks of how costs grow with size, and the report on them. */
@NullMarked
package dev.jayturn.lab.capacity;

import org.jspecify.annotations.NullMarked;
