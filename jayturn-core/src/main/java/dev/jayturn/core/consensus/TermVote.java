package dev.jayturn.core.consensus;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: the current term and the candidate voted for in it; empty if none. */
public record TermVote(long term, String votedFor) implements JournalRecord {}
