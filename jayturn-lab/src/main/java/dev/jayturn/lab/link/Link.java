package dev.jayturn.lab.link;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** A link between regions: its delay, its rate, whether it is cut, and what it carried. */
final class Link {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double BITS_PER_BYTE = 8;

    private final long delayNanos;
    private final double nanosPerByte;
    private final AtomicBoolean cut = new AtomicBoolean();
    private final AtomicLong transferredBytes = new AtomicLong();
    private final AtomicLong idleFromNanos = new AtomicLong();

    /** Creates a link with a one-way delay and a rate in kilobits a second. */
    Link(long delayMillis, long kilobits) {
        this.delayNanos = delayMillis * NANOS_PER_MILLI;
        this.nanosPerByte = BITS_PER_BYTE * NANOS_PER_MILLI / kilobits;
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

    /** Returns how long a number of bytes take to arrive, in nanoseconds from now. */
    synchronized long scheduleTransfer(int count) {
        transferredBytes.addAndGet(count);
        long now = System.nanoTime();
        long start = Math.max(now, idleFromNanos.get());
        long end = start + (long) (count * nanosPerByte);
        idleFromNanos.set(end);
        return end - now + delayNanos;
    }
}
