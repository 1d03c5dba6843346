package dev.jayturn.core.virtual;

import dev.jayturn.core.random.RandomSource;
import java.util.Random;

/** A random source that is reproducible from the seed of its generator. */
public final class SeededRandom implements RandomSource {
    private final Random random;

    public SeededRandom(Random random) {
        this.random = random;
    }

    @Override
    public int nextInt(int bound) {
        return random.nextInt(bound);
    }

    @Override
    public long nextLong() {
        return random.nextLong();
    }
}
