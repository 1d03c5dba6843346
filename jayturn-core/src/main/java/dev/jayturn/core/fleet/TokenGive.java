package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;

/**
 * Transfers tokens to another holder, in answer to a {@link TokenAsk} or as surplus. The message
 * carries the cumulative total, so that lost and repeated messages are harmless.
 *
 * @param givenTotal all tokens of the customer that the sender has transferred to this holder so
 *     far
 */
public record TokenGive(String fromHolder, String toHolder, String customer, long givenTotal)
        implements Message {}
