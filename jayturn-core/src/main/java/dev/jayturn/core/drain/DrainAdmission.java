package dev.jayturn.core.drain;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests an instance that is about to stop still sends to an upstream. Answers a
 * planned stop under load, in which requests come until the balancer has noticed it, and later on
 * connections that were open: one that cannot end before the process does would be cut off after it
 * ran, while another instance can serve it whole if it is refused at once. One that is expected to
 * end in time is served, as a refusal costs its caller a retry.
 */
public final class DrainAdmission {
    /** Time for last responses to reach the sockets before the process ends. */
    private static final long RESPONSE_MARGIN_MILLIS = 100;

    private final Map<String, ExpectedDuration> durations = new HashMap<>();
    private long endMillis = Long.MAX_VALUE;

    /**
     * Begins a drain.
     *
     * @param leaveMillis time at which the process starts to end
     */
    public void begin(long leaveMillis) {
        endMillis = leaveMillis - RESPONSE_MARGIN_MILLIS;
    }

    /** Returns whether a drain has begun. */
    public boolean isDraining() {
        return endMillis != Long.MAX_VALUE;
    }

    /** Returns when requests that are still open get their last answer. */
    public long endMillis() {
        return endMillis;
    }

    /** Records a request that was served whole, and the time from its dispatch to its end. */
    public void recordServed(String route, long millis) {
        ExpectedDuration expected = durations.get(route);
        if (expected == null) {
            durations.put(route, new ExpectedDuration(millis));
        } else {
            expected.record(millis);
        }
    }

    /** Forgets the routes that are not configured any more. */
    public void retainRoutes(Set<String> names) {
        durations.keySet().retainAll(names);
    }

    /**
     * Returns whether a request is sent to an upstream.
     *
     * @param timeoutMillis time after which the request ends in any case
     */
    public boolean admits(String route, long nowMillis, long timeoutMillis) {
        if (!isDraining()) {
            return true;
        }
        long leftMillis = endMillis - nowMillis;
        return leftMillis > 0 && Math.min(timeoutMillis, upperMillis(route)) <= leftMillis;
    }

    /** Without a measurement, a request may take all the time that it has. */
    private long upperMillis(String route) {
        @Nullable ExpectedDuration expected = durations.get(route);
        return expected == null ? Long.MAX_VALUE : expected.upperMillis();
    }
}
