package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * An upstream's answer to {@link CancelStream}.
 *
 * @param tokens tokens that the stream generated
 * @param tombstone whether the upstream refuses the stream's id from now on
 */
public record StreamCancelled(String intentId, long tokens, boolean tombstone) implements Message {}
