package dev.jayturn.lab.capacity;

/** A benchmark of a cost that grows with a size. */
interface ScalingBenchmark {
    /** Returns the name of the cost, with its unit. */
    String costName();

    /** Returns the name of the items that the size counts. */
    String sizeName();

    /** Returns the sizes at which to measure, in ascending order. */
    long[] sizes();

    /** Measures the cost at a size. */
    double measure(long size);
}
