package dev.jayturn.core.virtual;

import java.util.PriorityQueue;

/** A queue of events in virtual time; events at the same time run in the order they were added. */
public final class VirtualTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMillis = 1_000_000;
    private long nextSequence;
    private Runnable afterEachEvent = () -> {};

    private record Event(long atMillis, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the time in milliseconds. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Sets a check that runs after every event. */
    public void runAfterEachEvent(Runnable check) {
        afterEachEvent = check;
    }

    /** Runs a task after a delay in milliseconds. */
    public void schedule(long delayMillis, Runnable task) {
        events.add(new Event(nowMillis + Math.max(0, delayMillis), nextSequence++, task));
    }

    /** Runs the events of the next milliseconds. */
    public void runFor(long millis) {
        long until = nowMillis + millis;
        Event next = events.peek();
        while (next != null && next.atMillis <= until) {
            events.remove();
            nowMillis = next.atMillis;
            next.task.run();
            afterEachEvent.run();
            next = events.peek();
        }
        nowMillis = until;
    }
}
