package dev.jayturn.core.journal;

import java.util.List;

/** An append-only store of records, kept in order. */
public interface Journal {
    /**
     * Appends a record.
     *
     * @param onDurable called on the owner's thread, in append order, once the record lasts; never
     *     called if the store can no longer make records durable
     */
    void append(JournalRecord entry, Runnable onDurable);

    /** Calls back, in append order, once everything appended so far lasts. */
    void whenDurable(Runnable onDurable);

    /** Replaces everything appended so far by these records, atomically. */
    void rewrite(List<JournalRecord> records);

    /** Returns how many records were appended since the last rewrite. */
    long recordsSinceRewrite();
}
