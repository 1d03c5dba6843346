package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * Requests the grants to a ledger after an index of the control log.
 *
 * @param round number of the round in which the ledger collects tokens, which the answer repeats; 0
 *     if the pull belongs to no round
 */
public record GrantPull(String ledger, long afterIndex, long round) implements Message {}
