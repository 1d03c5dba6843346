package dev.jayturn.daemon.fleet;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.loop.LoopDelayMeter;

/** Logs long delays of the event loop. */
final class LoopDelayLog {
    private LoopDelayLog() {}

    /** Starts to measure the delays of the event loop that timers run on. */
    static LoopDelayMeter start(TimerService timers, EventLog log) {
        return new LoopDelayMeter(
                timers,
                timers::nowMillis,
                delayMillis ->
                        log.event(
                                "loop.delayed",
                                json -> json.writeNumberField("delay", delayMillis)));
    }
}
