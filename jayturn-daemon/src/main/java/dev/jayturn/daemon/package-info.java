/** The daemon, which connects the decision logic to the network, the disk and the clock. */
@NullMarked
package dev.jayturn.daemon;

import org.jspecify.annotations.NullMarked;
