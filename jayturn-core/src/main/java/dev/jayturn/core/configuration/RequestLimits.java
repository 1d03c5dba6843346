package dev.jayturn.core.configuration;

/** Limits on the size of a caller's requests, the time to send headers, and idle time. */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration sets others. */
    public static final RequestLimits DEFAULTS =
            new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
