package dev.jayturn.core.membership;

/**
 * An upstream's load at its last announcement, which lags behind the actual load.
 *
 * @param running requests that the upstream executes
 * @param queued requests that wait at the upstream
 */
public record LoadReport(String id, int running, int queued) {}
