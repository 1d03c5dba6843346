package dev.jayturn.core.limits;

import dev.jayturn.core.virtual.VirtualTime;

/** One direction of a network link in virtual time: bytes queue in order behind each other. */
final class VirtualLink {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final VirtualTime time;
    private final double bytesPerMilli;
    private double freeAtMillis;

    VirtualLink(VirtualTime time, double bytesPerSecond) {
        this.time = time;
        this.bytesPerMilli = bytesPerSecond / MILLIS_PER_SECOND;
    }

    /** Transfers bytes and runs a task when the last of them has arrived. */
    void transfer(long bytes, Runnable onArrival) {
        freeAtMillis = Math.max(freeAtMillis, time.nowMillis()) + bytes / bytesPerMilli;
        time.schedule((long) Math.ceil(freeAtMillis) - time.nowMillis(), onArrival);
    }
}
