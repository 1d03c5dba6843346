package dev.jayturn.core.ratelimit;

/** Learns of changes of the upstreams' rate limits. */
public interface RateLimitListener {
    /**
     * Called when the limit of an upstream has changed, or has ended.
     *
     * @param upstream id and incarnation of the upstream
     * @param rate requests per second; infinity if there is no limit any more
     * @param ageMillis time since the upstream said so
     */
    void onRateLimit(String upstream, double rate, long ageMillis);
}
