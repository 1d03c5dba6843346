package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * Acknowledges a {@link ShareGive}: the cumulative total was credited durably.
 *
 * @param from the ledger that received the tokens
 */
public record ShareAck(String budget, String from, long sentTotal) implements Message {}
