package dev.jayturn.core.fake;

import dev.jayturn.core.transport.Message;

/** An upstream's whole answer. */
public record CallReply(String intentId, long tokens, String key, boolean refused)
        implements Message {}
