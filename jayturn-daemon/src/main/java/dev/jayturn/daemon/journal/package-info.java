/** Journals in files and the identity of a data folder. */
@NullMarked
package dev.jayturn.daemon.journal;

import org.jspecify.annotations.NullMarked;
