package dev.jayturn.core.dispatch;

/** What one entry instance has under way at an upstream. */
public record UpstreamWork(String upstream, int inFlight, long waitingTokens) {}
