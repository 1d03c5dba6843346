package dev.jayturn.core.resumption;

import dev.jayturn.core.timer.TimerService;

/** The origins of the streams that an entry instance has begun. */
public final class StreamOrigins {
    private static final int MAX_RECORDS = 20_000;
    private static final long EXPIRY_INTERVAL_MILLIS = 2_000;

    private final TimerService timers;
    private final OriginTable table = new OriginTable(MAX_RECORDS);

    public StreamOrigins(TimerService timers) {
        this.timers = timers;
        timers.every(EXPIRY_INTERVAL_MILLIS, () -> table.removeExpired(timers.nowMillis()));
    }

    /**
     * Records the origin of a stream.
     *
     * @param lifetimeMillis time for which the stream may be resumed
     */
    public void put(long stream, StreamOrigin origin, long lifetimeMillis) {
        table.put(stream, origin, lifetimeMillis, timers.nowMillis());
    }

    /** Searches the origin of a stream. */
    public void find(long stream, OriginCallback callback) {
        OriginRecord own = table.find(stream, timers.nowMillis());
        if (own == null) {
            callback.onNotFound(true);
        } else {
            callback.onFound(own.origin());
        }
    }
}
