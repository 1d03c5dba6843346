package dev.jayturn.daemon.proxy;

import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.retry.InstanceCounts;
import dev.jayturn.core.retry.SharedRetryBudget;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.eventlog.EventLog;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The retry budgets of an entry instance, one for each service; logs each decision on a retry. */
final class ServiceRetryBudgets {
    private final TimerService timers;
    private final EventLog log;
    private final long startMillis;
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
    private Forwarder.RetryBounds bounds;
    private InstanceCounts instanceCounts;
    private @Nullable EntryInstance entryInstance;

    ServiceRetryBudgets(TimerService timers, EventLog log, Forwarder.RetryBounds bounds) {
        this.timers = timers;
        this.log = log;
        this.bounds = bounds;
        this.startMillis = timers.nowMillis();
        this.instanceCounts = new InstanceCounts(timers, bounds.windowMillis());
    }

    void setEntryInstance(EntryInstance instance) {
        entryInstance = instance;
        instance.setEntryCountListener(count -> instanceCounts.record(count));
    }

    /**
     * Replaces the limits on retries, and forgets the retries and requests counted so far. The
     * slack is used again after a window, as by an instance that has started.
     */
    void setBounds(Forwarder.RetryBounds newBounds) {
        bounds = newBounds;
        budgets.clear();
        instanceCounts = new InstanceCounts(timers, newBounds.windowMillis());
    }

    void recordRequest(String service) {
        budgetOf(service).recordRequest();
    }

    /**
     * Takes a retry from the budget of a service; returns false if there is none.
     *
     * @param cause why the request is to be sent again
     */
    boolean tryAcquire(String service, String requestId, Attempt.Failure cause) {
        EntryInstance instance = entryInstance;
        String source = instance == null ? "" : instance.entryCountSource();
        int instances = instanceCounts.divisor();
        SharedRetryBudget budget = budgetOf(service);
        boolean allowed = budget.tryAcquire(instances);
        log.event(
                "retry.decided",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("service", service);
                    json.writeStringField("cause", cause.name());
                    json.writeBooleanField("allowed", allowed);
                    json.writeNumberField("requests", budget.requestCount());
                    json.writeNumberField("retries", budget.retryCount());
                    json.writeNumberField("instances", instances);
                    json.writeStringField("from", source);
                    json.writeNumberField("age", instanceCounts.ageMillis());
                    json.writeNumberField("uptime", timers.nowMillis() - startMillis);
                });
        return allowed;
    }

    private SharedRetryBudget budgetOf(String service) {
        return budgets.computeIfAbsent(
                service,
                name ->
                        new SharedRetryBudget(
                                timers, bounds.windowMillis(), bounds.ratio(), bounds.slack()));
    }
}
