package dev.jayturn.core.journal;

import java.util.List;

/** A durable, append-only sequence of records. */
public interface Journal {
    /**
     * Appends a record.
     *
     * @param onDurable called on the owner's thread, in append order, once the record is durable,
     *     which may be long after if the store fails meanwhile
     */
    void append(JournalRecord journalRecord, Runnable onDurable);

    /**
     * Calls back, in append order, once all records appended so far are durable. The callback may
     * be dropped while the store fails.
     */
    void whenDurable(Runnable onDurable);

    /** Atomically replaces all records appended so far. */
    void rewrite(List<JournalRecord> records);

    /** Returns the number of records appended since the last rewrite. */
    long recordsSinceRewrite();
}
