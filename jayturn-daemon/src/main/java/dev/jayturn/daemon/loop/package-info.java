/** The thread that runs all decision logic. */
@NullMarked
package dev.jayturn.daemon.loop;

import org.jspecify.annotations.NullMarked;
