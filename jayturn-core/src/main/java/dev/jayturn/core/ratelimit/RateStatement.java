package dev.jayturn.core.ratelimit;

/**
 * What an upstream said about its rate limit in a response.
 *
 * @param upstream id and incarnation of the upstream
 * @param rate requests per second that it takes from all instances together; infinity if it named
 *     no limit
 * @param requestAgeMillis time since the request of that response was sent
 * @param ageMillis time since the response was received
 */
public record RateStatement(String upstream, double rate, long requestAgeMillis, long ageMillis) {}
