package dev.jayturn.daemon.head;

import dev.jayturn.core.limits.HeadBudget;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.metrics.FleetMetrics;

/** The memory that the heads of all requests to a process occupy. */
public final class HeadMemory {
    /** Time after which a caller that was refused may find memory. */
    public static final long RETRY_AFTER_MILLIS = 1_000;

    private static final int BYTES_PER_MEGABYTE = 1 << 20;

    private final HeadBudget budget;
    private final EventLog log;
    private final FleetMetrics metrics;

    /** Creates the memory of a process and registers its gauge. */
    public HeadMemory(long capacityMegabytes, EventLog log, FleetMetrics metrics) {
        this.budget = new HeadBudget(capacityMegabytes * BYTES_PER_MEGABYTE);
        this.log = log;
        this.metrics = metrics;
        metrics.registerGauge("jayturn.heads.charged.bytes", budget::chargedBytes);
    }

    HeadBudget budget() {
        return budget;
    }

    /** Called when a request is refused whose head occupied a number of bytes. */
    void onRefused(String part, long occupiedBytes) {
        metrics.recordRefusedHead(part);
        log.event(
                "heads.short",
                json -> {
                    json.writeStringField("part", part);
                    json.writeNumberField("occupied", occupiedBytes);
                    json.writeNumberField("charged", budget.chargedBytes());
                });
    }
}
