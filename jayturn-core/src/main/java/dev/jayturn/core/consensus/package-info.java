/** Raft consensus: replicated log, elections, snapshots and membership changes. */
@NullMarked
package dev.jayturn.core.consensus;

import org.jspecify.annotations.NullMarked;
