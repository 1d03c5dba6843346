package dev.jayturn.lab.capacity;

import java.lang.ref.Reference;
import java.util.Arrays;

/** Ways to take a cost. */
final class CostMeter {
    private static final int REPETITIONS = 5;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int GC_RUNS = 3;

    private CostMeter() {}

    /** Something whose time is taken. */
    interface TimedTask {
        void run();
    }

    /** Something that is kept while its memory is taken. */
    interface ObjectFactory {
        Object create();
    }

    /** Returns the shortest of several times, in milliseconds. */
    static double minMillis(TimedTask work) {
        double best = Double.MAX_VALUE;
        for (int i = 0; i < REPETITIONS; i++) {
            long start = System.nanoTime();
            work.run();
            best = Math.min(best, (System.nanoTime() - start) / NANOS_PER_MILLI);
        }
        return best;
    }

    /** Returns the megabytes that are held by what is made: the middle one of several takes. */
    static double medianMegabytes(ObjectFactory maker) {
        double[] takes = new double[REPETITIONS];
        for (int i = 0; i < REPETITIONS; i++) {
            long before = usedHeapBytes();
            Object kept = maker.create();
            takes[i] = (usedHeapBytes() - before) / (double) (1 << 20);
            Reference.reachabilityFence(kept);
        }
        Arrays.sort(takes);
        return takes[REPETITIONS / 2];
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
