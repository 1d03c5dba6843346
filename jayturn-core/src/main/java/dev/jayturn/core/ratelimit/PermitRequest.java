package dev.jayturn.core.ratelimit;

import dev.jayturn.core.transport.Message;

/**
 * Asks the owner of an upstream's permits for some of them, and puts the sender's part of the limit
 * into the owner's pool for a while.
 *
 * @param number increases with each request of the sender
 * @param instances number of live entry instances that the sender knows of
 * @param wanted number of permits, which may be 0
 * @param statement the newest statement of the upstream that the sender knows of
 */
public record PermitRequest(
        String from, long number, int instances, int wanted, RateStatement statement)
        implements Message {}
