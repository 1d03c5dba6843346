package dev.jayturn.core.timer;

/** The wall clock, which may jump; use it only where a jump is documented to be harmless. */
public interface WallClock {
    /** Returns the time in milliseconds since 1970-01-01T00:00:00Z. */
    long wallMillis();
}
