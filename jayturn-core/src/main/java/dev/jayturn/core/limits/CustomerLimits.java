package dev.jayturn.core.limits;

import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.Principal;
import dev.jayturn.core.timer.TimerService;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Request rate and open requests of each customer at this instance. */
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

    /** Admits a request, or returns why not; what was admitted must be released once. */
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
                double missing = 1 - usage.ratePermits;
                long wait =
                        (long) Math.ceil(missing * MILLIS_PER_SECOND / principal.ratePerSecond());
                return Refusal.notRun(
                        ResultCode.RATE_LIMITED,
                        "the limit is " + principal.ratePerSecond() + " requests a second",
                        wait);
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
        double earned = (double) (now - usage.refilledMillis) * perSecond / MILLIS_PER_SECOND;
        usage.ratePermits = Math.min(perSecond, usage.ratePermits + earned);
        usage.refilledMillis = now;
    }
}
