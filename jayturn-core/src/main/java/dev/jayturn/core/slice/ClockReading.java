package dev.jayturn.core.slice;

/**
 * When something was on one instance, by its clocks.
 *
 * @param bootId names the machine's run, within which its steady clock never goes back
 * @param monotonicMillis steady clock
 * @param wallMillis time of day
 */
public record ClockReading(String bootId, long monotonicMillis, long wallMillis) {}
