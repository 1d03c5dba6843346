package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;

/**
 * Answers {@link TokenAsk} with all that one holder has given another so far, so that a message
 * lost or repeated changes nothing.
 */
public record TokenGive(String fromHolder, String toHolder, String customer, long givenTotal)
        implements Message {}
