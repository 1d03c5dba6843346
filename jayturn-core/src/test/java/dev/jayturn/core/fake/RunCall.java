package dev.jayturn.core.fake;

import dev.jayturn.core.transport.Message;

/** Request of an entry instance to an upstream to run a call. */
public record RunCall(String intentId, String replyTo, String key, long tokens)
        implements Message {}
