package dev.jayturn.lab.capacity;

/** A cost that grows with a size. */
interface ScalingBenchmark {
    /** Returns what is measured, with its unit. */
    String costName();

    /** Returns what the size counts. */
    String sizeName();

    /** Returns the sizes to measure at, ascending. */
    long[] sizes();

    /** Returns the cost at a size. */
    double measure(long size);
}
