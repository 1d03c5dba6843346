package dev.jayturn.core.slice;

/**
 * When something was on one instance, by its clocks.
 *
 * @param boot names the machine's run, within which its steady clock never goes back
 * @param steadyMillis steady clock
 * @param wallMillis time of day
 */
public record LifeClock(String boot, long steadyMillis, long wallMillis) {}
