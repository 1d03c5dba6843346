package dev.jayturn.core.random;

/** A source of random numbers. */
public interface RandomSource {
    /** Returns a number between 0 (inclusive) and the bound (exclusive). */
    int nextInt(int bound);

    /** Returns 64 random bits. */
    long nextLong();
}
