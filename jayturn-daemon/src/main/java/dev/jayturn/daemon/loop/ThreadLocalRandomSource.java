package dev.jayturn.daemon.loop;

import dev.jayturn.core.random.RandomSource;
import java.util.concurrent.ThreadLocalRandom;

/** Random numbers from the {@link ThreadLocalRandom} of the current thread. */
public final class ThreadLocalRandomSource implements RandomSource {
    @Override
    public int nextInt(int bound) {
        return ThreadLocalRandom.current().nextInt(bound);
    }

    @Override
    public long nextLong() {
        return ThreadLocalRandom.current().nextLong();
    }
}
