package dev.jayturn.core.journal;

import java.util.List;

/** A durable, append-only sequence of records. */
public interface Journal {
    /**
     * Appends a record.
     *
     * @param onDurable called on the owner's thread, in append order, once the record is durable;
     *     never called if the store can no longer make records durable
     */
    void append(JournalRecord journalRecord, Runnable onDurable);

    /** Calls back, in append order, once all records appended so far are durable. */
    void whenDurable(Runnable onDurable);

    /** Atomically replaces all records appended so far. */
    void rewrite(List<JournalRecord> records);

    /** Returns the number of records appended since the last rewrite. */
    long recordsSinceRewrite();
}
