package dev.jayturn.core.dispatch;

/**
 * The work that one entry instance has in flight at an upstream.
 *
 * @param upstream id of the upstream
 * @param waitingTokens uncached prompt tokens of requests that wait for their first event
 */
public record UpstreamWork(String upstream, int inFlight, long waitingTokens) {}
