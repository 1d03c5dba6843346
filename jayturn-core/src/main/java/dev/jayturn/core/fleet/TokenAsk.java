package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;

/**
 * A request of one entry instance to another for tokens of a customer's budget.
 *
 * @param from link address of the sender
 * @param holder incarnation of the sender
 * @param partly whether the receiver may send fewer tokens than requested
 */
public record TokenAsk(String from, String holder, String customer, long tokens, boolean partly)
        implements Message {}
