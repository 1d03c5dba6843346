package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;
import java.util.List;

/** A deterministic state that the replicated log drives. */
public interface StateMachine {
    /** Applies a committed command and returns its outcome. */
    Object apply(long index, Command command);

    /** Called once it will be known after a restart, too, that an index is committed. */
    default void onCommitDurable(long index) {}

    /** Returns records that {@link #restore} rebuilds the state from. */
    List<JournalRecord> snapshot();

    /** Replaces the state. */
    void restore(List<JournalRecord> items);
}
