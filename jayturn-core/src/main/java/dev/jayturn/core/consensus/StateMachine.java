package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;
import java.util.List;

/** A deterministic state machine that applies the commands of the replicated log. */
public interface StateMachine {
    /** Applies a committed command and returns its outcome. */
    Object apply(long index, Command command);

    /** Called once the journal durably records that the entries up to an index are committed. */
    default void onCommitDurable(long index) {}

    /** Returns the state as records for {@link #restore}. */
    List<JournalRecord> snapshot();

    /** Replaces the state by that of a snapshot; an empty list is the initial state. */
    void restore(List<JournalRecord> items);
}
