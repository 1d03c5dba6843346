package dev.jayturn.core.timer;

/** The time of day, which may jump; only what is said to survive a jump may rest on it. */
public interface WallClock {
    /** Returns milliseconds since 1970. */
    long wallMillis();
}
