/** A simulated model engine with continuous batching, and its HTTP server. */
@NullMarked
package dev.jayturn.lab.engine;

import org.jspecify.annotations.NullMarked;
