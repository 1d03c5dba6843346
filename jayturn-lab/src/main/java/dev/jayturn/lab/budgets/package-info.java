/** An experiment in virtual time that compares false refusals and overspend of allocators. */
@NullMarked
package dev.jayturn.lab.budgets;

import org.jspecify.annotations.NullMarked;
