/** Decodes requests one at a time and bounds the memory of their heads. */
@NullMarked
package dev.jayturn.daemon.head;

import org.jspecify.annotations.NullMarked;
