package dev.jayturn.daemon.fleet;

import dev.jayturn.core.loadview.FleetLoads;
import dev.jayturn.core.loadview.LoadViewStatus;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.metrics.FleetMetrics;

/** Shows operators what an entry instance knows of the load of a large fleet. */
final class LoadViewLog {
    private static final long INTERVAL_MILLIS = 10_000;

    private LoadViewLog() {}

    /** Registers the gauges, and logs a line now and then while the sums are in use. */
    static void start(FleetLoads loads, TimerService timers, FleetMetrics metrics, EventLog log) {
        metrics.registerGauge("jayturn.load.view.age.millis", () -> loads.status().ageMillis());
        metrics.registerGauge("jayturn.load.view.known", () -> loads.status().known());
        metrics.registerGauge("jayturn.load.view.unknown", () -> loads.status().unknown());
        timers.every(
                INTERVAL_MILLIS,
                () -> {
                    if (loads.isShared()) {
                        write(loads.status(), log);
                    }
                });
    }

    private static void write(LoadViewStatus status, EventLog log) {
        log.event(
                "load.view",
                json -> {
                    json.writeNumberField("instances", status.instances());
                    json.writeNumberField("round", status.round());
                    json.writeNumberField("known", status.known());
                    json.writeNumberField("unknown", status.unknown());
                    json.writeNumberField("age", status.ageMillis());
                });
    }
}
