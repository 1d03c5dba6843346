/** Simulated upstreams, a load generator, experiments and benchmarks. */
@NullMarked
package dev.jayturn.lab;

import org.jspecify.annotations.NullMarked;
