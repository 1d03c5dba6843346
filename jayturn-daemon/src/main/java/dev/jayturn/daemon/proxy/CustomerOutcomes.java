package dev.jayturn.daemon.proxy;

import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.eventlog.EventLog;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts how the requests of each customer ended, and logs the counts at intervals. Under load the
 * log leaves out lines of single requests, most of all where requests are refused; the counts are
 * complete.
 */
final class CustomerOutcomes {
    private static final long INTERVAL_MILLIS = 2_000;

    /** Customers of an interval that are counted by name; the others are counted together. */
    private static final int MAX_CUSTOMERS = 64;

    private static final String OTHER_CUSTOMERS = "others";

    private final EventLog log;
    private final Map<String, Map<Integer, Integer>> counts = new TreeMap<>();

    CustomerOutcomes(TimerService timers, EventLog log) {
        this.log = log;
        timers.every(INTERVAL_MILLIS, this::logCounts);
    }

    /** Counts a request that ended; requests whose customer is not known have an empty name. */
    void record(String customer, ResultCode code) {
        boolean isNamed = counts.containsKey(customer) || counts.size() < MAX_CUSTOMERS;
        counts.computeIfAbsent(isNamed ? customer : OTHER_CUSTOMERS, c -> new TreeMap<>())
                .merge(code.number(), 1, Integer::sum);
    }

    private void logCounts() {
        if (counts.isEmpty()) {
            return;
        }
        log.summary(
                "customers.outcomes",
                json -> {
                    json.writeObjectFieldStart("customers");
                    for (Map.Entry<String, Map<Integer, Integer>> customer : counts.entrySet()) {
                        json.writeObjectFieldStart(customer.getKey());
                        for (Map.Entry<Integer, Integer> count : customer.getValue().entrySet()) {
                            json.writeNumberField(String.valueOf(count.getKey()), count.getValue());
                        }
                        json.writeEndObject();
                    }
                    json.writeEndObject();
                });
        counts.clear();
    }
}
