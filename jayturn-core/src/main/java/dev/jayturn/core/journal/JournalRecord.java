package dev.jayturn.core.journal;

/** A record of a journal; implementations are Java records. */
public interface JournalRecord {}
