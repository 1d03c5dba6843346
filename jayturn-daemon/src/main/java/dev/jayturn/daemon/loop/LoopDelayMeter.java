package dev.jayturn.daemon.loop;

import dev.jayturn.core.timer.TimerService;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Measures how late a periodic timer fires, which is how long all other tasks of its loop have
 * waited. Used on the thread of the loop only.
 */
public final class LoopDelayMeter {
    private static final long INTERVAL_MILLIS = 200;

    /** A maximum stays for one to two windows, so that each scrape sees it. */
    private static final long WINDOW_MILLIS = 10_000;

    /** Delay that is reported by itself. */
    private static final long LONG_DELAY_MILLIS = 500;

    private final LongSupplier clockMillis;
    private final LongConsumer onLongDelay;
    private long expectedMillis;
    private long windowStartMillis;
    private long maxDelayMillis;
    private long previousMaxDelayMillis;

    /**
     * Starts measuring.
     *
     * @param clockMillis a monotonic clock
     * @param onLongDelay receives each delay, in milliseconds, above half a second
     */
    public LoopDelayMeter(TimerService timers, LongSupplier clockMillis, LongConsumer onLongDelay) {
        this.clockMillis = clockMillis;
        this.onLongDelay = onLongDelay;
        this.windowStartMillis = clockMillis.getAsLong();
        this.expectedMillis = windowStartMillis + INTERVAL_MILLIS;
        timers.every(INTERVAL_MILLIS, this::measure);
    }

    private void measure() {
        long now = clockMillis.getAsLong();
        long delayMillis = Math.max(0, now - expectedMillis);
        expectedMillis = now + INTERVAL_MILLIS;
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = now;
            previousMaxDelayMillis = maxDelayMillis;
            maxDelayMillis = 0;
        }
        maxDelayMillis = Math.max(maxDelayMillis, delayMillis);
        if (delayMillis >= LONG_DELAY_MILLIS) {
            onLongDelay.accept(delayMillis);
        }
    }

    /** Returns the longest delay of the last 10 to 20 seconds, in milliseconds. */
    public long maxDelayMillis() {
        return Math.max(maxDelayMillis, previousMaxDelayMillis);
    }
}
