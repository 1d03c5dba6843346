package dev.jayturn.core.ratelimit;

/** Tells whether the rate limits of upstreams admit requests now. */
public interface RateLimits {
    /** Admits all requests. */
    RateLimits NONE =
            new RateLimits() {
                @Override
                public boolean admits(String upstream) {
                    return true;
                }

                @Override
                public long retryMillis(String upstream) {
                    return 0;
                }
            };

    /**
     * Returns whether a request may be sent to an upstream now.
     *
     * @param upstream id and incarnation of the upstream
     */
    boolean admits(String upstream);

    /** Returns the expected time until the limit of an upstream admits a request again. */
    long retryMillis(String upstream);
}
