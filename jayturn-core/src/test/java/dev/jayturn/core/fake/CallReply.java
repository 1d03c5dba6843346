package dev.jayturn.core.fake;

import dev.jayturn.core.transport.Message;

/** The answer of an upstream to a {@link RunCall}. */
public record CallReply(String intentId, long tokens, String key, boolean refused)
        implements Message {}
