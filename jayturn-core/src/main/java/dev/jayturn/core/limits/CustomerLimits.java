package dev.jayturn.core.limits;

import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.Principal;
import dev.jayturn.core.timer.TimerService;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Limits the request rate and the number of open requests of each customer at this instance. The
 * rate limit is a token bucket that holds one second's requests.
 */
public final class CustomerLimits {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final TimerService timers;
    private final Map<String, Usage> usages = new HashMap<>();

    private static final class Usage {
        private double ratePermits;
        private long refilledMillis;
        private long openRequests;
    }

    public CustomerLimits(TimerService timers) {
        this.timers = timers;
    }

    /**
     * Admits a request and returns null, or returns the refusal. An admitted request must be
     * released once.
     */
    public @Nullable Refusal admit(Principal principal) {
        Usage usage = usages.computeIfAbsent(principal.customer(), c -> newUsage(principal));
        if (principal.concurrency() > 0 && usage.openRequests >= principal.concurrency()) {
            return Refusal.notRun(
                    ResultCode.CONCURRENCY_LIMITED,
                    "the limit is " + principal.concurrency() + " open requests",
                    1_000);
        }
        if (principal.ratePerSecond() > 0) {
            refill(usage, principal.ratePerSecond());
            if (usage.ratePermits < 1) {
                double missingPermits = 1 - usage.ratePermits;
                long waitMillis =
                        (long)
                                Math.ceil(
                                        missingPermits
                                                * MILLIS_PER_SECOND
                                                / principal.ratePerSecond());
                return Refusal.notRun(
                        ResultCode.RATE_LIMITED,
                        "the limit is " + principal.ratePerSecond() + " requests a second",
                        waitMillis);
            }
            usage.ratePermits -= 1;
        }
        usage.openRequests++;
        return null;
    }

    /** Releases a request that was admitted. */
    public void release(String customer) {
        Usage usage = usages.get(customer);
        if (usage != null) {
            usage.openRequests--;
        }
    }

    private Usage newUsage(Principal principal) {
        Usage usage = new Usage();
        usage.ratePermits = principal.ratePerSecond();
        usage.refilledMillis = timers.nowMillis();
        return usage;
    }

    private void refill(Usage usage, long perSecond) {
        long now = timers.nowMillis();
        double newPermits = (double) (now - usage.refilledMillis) * perSecond / MILLIS_PER_SECOND;
        usage.ratePermits = Math.min(perSecond, usage.ratePermits + newPermits);
        usage.refilledMillis = now;
    }
}
