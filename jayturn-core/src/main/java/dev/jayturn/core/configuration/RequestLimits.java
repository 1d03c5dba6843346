package dev.jayturn.core.configuration;

/** What a caller may send and how long it may take over it or stay idle. */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Bounds in force until a configuration sets others. */
    public static final RequestLimits DEFAULTS =
            new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
