package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.head.HeadMemory;
import dev.jayturn.daemon.metrics.FleetMetrics;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;

/** Logs and counts the requests that are refused because of the memory of their heads. */
final class HeadMemoryLog implements HeadMemory.Listener {
    private static final int BYTES_PER_MEGABYTE = 1 << 20;

    private final EventLog log;
    private final FleetMetrics metrics;

    private HeadMemoryLog(EventLog log, FleetMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Creates the memory of a process and registers its gauge. */
    static HeadMemory createMemory(Settings settings, EventLog log, FleetMetrics metrics) {
        HeadMemory memory =
                new HeadMemory(
                        settings.number(SettingKey.FLEET_HEADER_MEMORY) * BYTES_PER_MEGABYTE,
                        new HeadMemoryLog(log, metrics));
        metrics.registerGauge("jayturn.heads.charged.bytes", memory::chargedBytes);
        return memory;
    }

    @Override
    public void onRefused(String part, long occupiedBytes, long chargedBytes) {
        metrics.recordRefusedHead(part);
        log.event(
                "heads.short",
                json -> {
                    json.writeStringField("part", part);
                    json.writeNumberField("occupied", occupiedBytes);
                    json.writeNumberField("charged", chargedBytes);
                });
    }
}
