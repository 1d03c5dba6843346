package dev.jayturn.core.retry;

import dev.jayturn.core.timer.TimerService;
import java.util.HashMap;
import java.util.Map;

/** A circuit breaker for each upstream: failures in a row close it off for a growing while. */
public final class CircuitBreakers {
    private static final int FAILURES_TO_OPEN = 3;
    private static final long FIRST_OPEN_MILLIS = 1_000;
    private static final long MAX_OPEN_MILLIS = 30_000;

    private final TimerService timers;
    private final Map<String, Breaker> breakers = new HashMap<>();

    private static final class Breaker {
        private int failures;
        private long nextOpenMillis = FIRST_OPEN_MILLIS;
        private long openUntilMillis;
    }

    public CircuitBreakers(TimerService timers) {
        this.timers = timers;
    }

    /** Returns whether a request may be sent to the upstream. */
    public boolean allows(String upstreamId) {
        Breaker breaker = breakers.get(upstreamId);
        return breaker == null || timers.nowMillis() >= breaker.openUntilMillis;
    }

    /** Notes an answer; the breaker forgets its failures. */
    public void recordSuccess(String upstreamId) {
        breakers.remove(upstreamId);
    }

    /** Notes a failure. */
    public void recordFailure(String upstreamId) {
        Breaker breaker = breakers.computeIfAbsent(upstreamId, i -> new Breaker());
        breaker.failures++;
        if (breaker.failures >= FAILURES_TO_OPEN) {
            breaker.openUntilMillis = timers.nowMillis() + breaker.nextOpenMillis;
            breaker.nextOpenMillis = Math.min(2 * breaker.nextOpenMillis, MAX_OPEN_MILLIS);
        }
    }
}
