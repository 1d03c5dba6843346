package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;

/**
 * An entry instance asks another for tokens of a customer's budget.
 *
 * @param partly whether a part of them is of use
 */
public record TokenAsk(String from, String holder, String customer, long tokens, boolean partly)
        implements Message {}
