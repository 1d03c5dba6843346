package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Message;

/** Answers a {@link VoteRequest}. */
public record VoteReply(String from, String to, long term, boolean granted, boolean pre)
        implements Message {}
