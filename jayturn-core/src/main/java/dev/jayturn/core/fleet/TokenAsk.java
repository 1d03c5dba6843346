package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;

/** An entry instance asks another for tokens of a customer's budget. */
public record TokenAsk(String from, String holder, String customer, long tokens)
        implements Message {}
