package dev.jayturn.core.slice;

/**
 * The readings of an instance's clocks at the time of an event.
 *
 * @param bootId identifies the boot of the machine, within which the monotonic clock never goes
 *     back
 * @param monotonicMillis monotonic clock, in milliseconds
 * @param wallMillis wall clock, in milliseconds
 */
public record ClockReading(String bootId, long monotonicMillis, long wallMillis) {}
