/** An experiment in virtual time that compares routing policies for model engines. */
@NullMarked
package dev.jayturn.lab.routing;

import org.jspecify.annotations.NullMarked;
