package dev.jayturn.core.ratelimit;

import dev.jayturn.core.transport.Message;

/**
 * Returns permits that were not used.
 *
 * @param number number of the request that they were granted for
 */
public record PermitReturn(String from, String upstream, long number, int permits)
        implements Message {}
