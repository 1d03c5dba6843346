package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * Requests tokens of a budget from another ledger.
 *
 * @param need tokens that the requesting ledger lacks
 * @param from the requesting ledger
 * @param round number of the round in which the ledger collects tokens; the answer repeats it
 */
public record ShareAsk(String budget, long need, String from, long round) implements Message {}
