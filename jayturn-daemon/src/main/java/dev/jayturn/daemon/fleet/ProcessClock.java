package dev.jayturn.daemon.fleet;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.daemon.link.EventLoopTimers;

/** Reads the clocks of the machine for a process that has just started. */
public final class ProcessClock {
    private ProcessClock() {}

    /**
     * Returns the current clocks and the id of the boot. Call it first of all in a process: loading
     * the rest of the program takes seconds on a small share of a core.
     */
    public static ClockReading read() {
        long monotonicMillis = EventLoopTimers.monotonicMillis();
        long wallMillis = System.currentTimeMillis();
        return new ClockReading(BootId.read(), monotonicMillis, wallMillis);
    }
}
