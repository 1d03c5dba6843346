/** An open-loop load generator that checks each answer. */
@NullMarked
package dev.jayturn.lab.load;

import org.jspecify.annotations.NullMarked;
