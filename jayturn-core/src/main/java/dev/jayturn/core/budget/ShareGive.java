package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * Transfers tokens to another ledger, as a cumulative total; also answers {@link ShareAsk}.
 *
 * @param from the sending ledger
 * @param sentTotal tokens of the budget that the sender has ever sent to the receiver
 * @param round the round of the {@link ShareAsk} that this answers; 0 if it answers none
 */
public record ShareGive(String budget, String from, long sentTotal, long round)
        implements Message {}
