/** The operators' command line. */
@NullMarked
package dev.jayturn.cli;

import org.jspecify.annotations.NullMarked;
