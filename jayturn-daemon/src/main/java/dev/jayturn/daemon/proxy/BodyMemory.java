package dev.jayturn.daemon.proxy;

import dev.jayturn.core.limits.MemoryBudget;
import dev.jayturn.core.limits.SharedMemoryBudget;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.metrics.DirectMemory;
import dev.jayturn.daemon.metrics.FleetMetrics;

/** The memory that the bodies of all callers of an instance use. */
final class BodyMemory {
    /** The rest is for what is read but not yet decoded, for responses and for other instances. */
    private static final double SHARE_OF_DIRECT_MEMORY = 0.6;

    private final MemoryBudget budget;
    private final EventLog log;
    private final FleetMetrics metrics;
    private long heldBytes;

    BodyMemory(TimerService timers, EventLog log, FleetMetrics metrics) {
        this.budget =
                new SharedMemoryBudget(
                        timers, (long) (DirectMemory.maxBytes() * SHARE_OF_DIRECT_MEMORY));
        this.log = log;
        this.metrics = metrics;
    }

    MemoryBudget budget() {
        return budget;
    }

    /** Returns the number of bytes of bodies that are held, whole or in part. */
    long heldBytes() {
        return heldBytes;
    }

    void onHeldBytes(long change) {
        heldBytes += change;
    }

    /** Called when a request is not read because of a lack of memory. */
    void onRejected(String requestId, long wantedBytes) {
        metrics.recordMemoryRejection();
        log.event(
                "memory.short",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeNumberField("wanted", wantedBytes);
                    json.writeNumberField("claimed", budget.claimedBytes());
                    json.writeNumberField("waiting", budget.waitingClaims());
                    json.writeNumberField("bodies", heldBytes);
                    json.writeNumberField("direct", DirectMemory.usedBytes());
                });
    }
}
