package dev.jayturn.daemon.fleet;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.daemon.link.EventLoopTimers;

/** Reads the clocks of the machine for a process that has just started. */
public final class ProcessStart {
    private ProcessStart() {}

    /**
     * Returns the current clocks and the id of the boot. Call it first of all in a process: loading
     * the rest of the program takes seconds on a small share of a core, and clocks that are read
     * late do not prove that the predecessor ended within its lease.
     */
    public static ClockReading readClocks() {
        long monotonicMillis = EventLoopTimers.monotonicMillis();
        long wallMillis = System.currentTimeMillis();
        return new ClockReading(BootId.read(), monotonicMillis, wallMillis);
    }
}
