package dev.jayturn.core.retry;

import dev.jayturn.core.timer.TimerService;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides by how many instances a shared slack is divided, from the counts that the leader names.
 *
 * <p>Load pattern: all upstreams fail, so that each instance retries as much as it may, while
 * instances and control instances restart, are cut off and return. The leader counts only the
 * instances that reach it: after a restart of the control instances, and after a cut, it counts up
 * from one. A process that has just started does not know what its predecessor has retried.
 *
 * <p>An instance therefore divides by the largest count of two windows, and uses only a small part
 * of its share until counts have come for a whole window without a gap of a window. It uses none
 * while the last count is older than a window: whoever is cut off stops using slack before the
 * others divide it among fewer.
 */
public final class InstanceCounts {
    private static final int WINDOWS_REMEMBERED = 2;

    /** An instance that has just started, or come back, uses this part of its share: 1/N. */
    private static final int START_DIVISOR = 10;

    private final TimerService timers;
    private final long windowMillis;

    /** Counts that no later one exceeds, the largest first. */
    private final Deque<Count> counts = new ArrayDeque<>();

    private long lastMillis;
    private long knownSinceMillis;

    private record Count(long atMillis, int instances) {}

    /**
     * Creates a history without counts.
     *
     * @param windowMillis length of the window in which retries are limited
     */
    public InstanceCounts(TimerService timers, long windowMillis) {
        this.timers = timers;
        this.windowMillis = windowMillis;
    }

    /** Records a count that the leader has named. */
    public void record(int instances) {
        long now = timers.nowMillis();
        if (counts.isEmpty() || now - lastMillis > windowMillis) {
            knownSinceMillis = now;
        }
        lastMillis = now;
        while (!counts.isEmpty() && counts.getLast().instances() <= instances) {
            counts.removeLast();
        }
        counts.addLast(new Count(now, instances));
    }

    /** Returns what the slack is divided by for this instance; 0 if it may not use any now. */
    public int divisor() {
        long now = timers.nowMillis();
        while (counts.size() > 1
                && counts.getFirst().atMillis() < now - WINDOWS_REMEMBERED * windowMillis) {
            counts.removeFirst();
        }
        if (counts.isEmpty() || now - lastMillis > windowMillis) {
            return 0;
        }
        int largest = Math.max(1, counts.getFirst().instances());
        return now - knownSinceMillis >= windowMillis ? largest : START_DIVISOR * largest;
    }

    /** Returns the time since the last count in milliseconds; -1 if there was none. */
    public long ageMillis() {
        return counts.isEmpty() ? -1 : timers.nowMillis() - lastMillis;
    }
}
