/**
 * A view of the load at each upstream that every entry instance of a large fleet has: instances
 * report their own work to a holder that changes with each round, and get the sums back.
 */
@NullMarked
package dev.jayturn.core.loadview;

import org.jspecify.annotations.NullMarked;
