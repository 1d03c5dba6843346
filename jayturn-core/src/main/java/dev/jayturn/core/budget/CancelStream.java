package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * Tells an upstream to stop a stream and to refuse its id from then on.
 *
 * @param replyTo ledger that receives the {@link StreamCancelled}
 */
public record CancelStream(String intentId, String replyTo) implements Message {}
