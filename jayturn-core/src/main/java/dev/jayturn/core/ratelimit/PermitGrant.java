package dev.jayturn.core.ratelimit;

import dev.jayturn.core.transport.Message;

/**
 * Answers a {@link PermitRequest}.
 *
 * @param number number of the request
 * @param permits number of requests that the receiver may send to the upstream soon
 * @param retryMillis time after which more permits may be available; 0 if the request was granted
 * @param statement the newest statement of the upstream that the owner knows of
 */
public record PermitGrant(
        String from, long number, int permits, long retryMillis, RateStatement statement)
        implements Message {}
