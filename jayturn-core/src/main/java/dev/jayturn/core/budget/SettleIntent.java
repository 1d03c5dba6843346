package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * Settles an intent with the number of tokens that were used; idempotent.
 *
 * @param replyTo instance that receives the {@link IntentSettled}
 */
public record SettleIntent(String intentId, long tokens, String replyTo) implements Message {}
