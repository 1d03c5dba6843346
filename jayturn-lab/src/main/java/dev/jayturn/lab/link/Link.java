package dev.jayturn.lab.link;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** A simulated network link with a delay and a bandwidth. It can be cut and counts its bytes. */
final class Link {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double BITS_PER_BYTE = 8;

    private final long delayNanos;
    private final double nanosPerByte;
    private final AtomicBoolean cut = new AtomicBoolean();
    private final AtomicLong transferredBytes = new AtomicLong();
    private final AtomicLong idleFromNanos = new AtomicLong();

    /** Creates a link with a one-way delay and a bandwidth. */
    Link(long delayMillis, long kilobitsPerSecond) {
        this.delayNanos = delayMillis * NANOS_PER_MILLI;
        this.nanosPerByte = BITS_PER_BYTE * NANOS_PER_MILLI / kilobitsPerSecond;
    }

    void setCut(boolean value) {
        cut.set(value);
    }

    boolean isCut() {
        return cut.get();
    }

    long transferredBytes() {
        return transferredBytes.get();
    }

    /** Reserves bandwidth for a transfer; returns the nanoseconds until its bytes have arrived. */
    synchronized long scheduleTransfer(int byteCount) {
        transferredBytes.addAndGet(byteCount);
        long now = System.nanoTime();
        long start = Math.max(now, idleFromNanos.get());
        long end = start + (long) (byteCount * nanosPerByte);
        idleFromNanos.set(end);
        return end - now + delayNanos;
    }
}
