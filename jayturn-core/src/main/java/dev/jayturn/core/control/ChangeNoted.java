package dev.jayturn.core.control;

import dev.jayturn.core.journal.JournalRecord;

/**
 * Snapshot record: a change that was answered.
 *
 * @param changeId the change id or credit id
 * @param fingerprint hash of the change, to tell a repeat from another change under the same id
 * @param outcome the outcome of the change, which also answers its repeats
 */
public record ChangeNoted(String changeId, int fingerprint, ControlOutcome outcome)
        implements JournalRecord {}
