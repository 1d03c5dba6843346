package dev.jayturn.daemon.metrics;

import io.netty.util.internal.PlatformDependent;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;

/** Memory outside the heap that buffers of connections use. */
public final class DirectMemory {
    private DirectMemory() {}

    /** Returns the number of bytes that this process may use. */
    public static long maxBytes() {
        return PlatformDependent.maxDirectMemory();
    }

    /** Returns the number of bytes in use. */
    public static long usedBytes() {
        long counted = PlatformDependent.usedDirectMemory();
        if (counted >= 0) {
            return counted;
        }
        long bytes = 0;
        for (BufferPoolMXBean pool : ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)) {
            bytes += pool.getName().equals("direct") ? pool.getMemoryUsed() : 0;
        }
        return bytes;
    }
}
