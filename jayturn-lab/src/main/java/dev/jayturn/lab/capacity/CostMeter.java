package dev.jayturn.lab.capacity;

import java.lang.ref.Reference;
import java.util.Arrays;

/** Measures execution time and retained memory. */
final class CostMeter {
    private static final int REPETITIONS = 5;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int GC_RUNS = 3;

    private CostMeter() {}

    /** A task whose execution time is measured. */
    interface TimedTask {
        void run();
    }

    /** Creates an object whose retained memory is measured. */
    interface ObjectFactory {
        Object create();
    }

    /** Returns the shortest execution time of several runs, in milliseconds. */
    static double minMillis(TimedTask task) {
        double shortest = Double.MAX_VALUE;
        for (int i = 0; i < REPETITIONS; i++) {
            long start = System.nanoTime();
            task.run();
            shortest = Math.min(shortest, (System.nanoTime() - start) / NANOS_PER_MILLI);
        }
        return shortest;
    }

    /**
     * Returns the heap memory that a created object retains, in megabytes: the median of several
     * runs.
     */
    static double medianMegabytes(ObjectFactory factory) {
        double[] samples = new double[REPETITIONS];
        for (int i = 0; i < REPETITIONS; i++) {
            long usedBefore = usedHeapBytes();
            Object retained = factory.create();
            samples[i] = (usedHeapBytes() - usedBefore) / (double) (1 << 20);
            Reference.reachabilityFence(retained);
        }
        Arrays.sort(samples);
        return samples[REPETITIONS / 2];
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
