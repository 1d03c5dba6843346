package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Message;

/** Raft RequestVote request; with {@code pre} set a pre-vote, which changes no term or vote. */
public record VoteRequest(
        String from, String to, long term, long lastIndex, long lastTerm, boolean pre)
        implements Message {}
