package dev.jayturn.daemon.link;

import dev.jayturn.core.timer.Subscription;
import dev.jayturn.core.timer.TimerService;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Timers on an event loop, by its steady clock. */
public final class LoopTimers implements TimerService {
    private final EventLoop loop;
    private final long startNanos = System.nanoTime();

    public LoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns milliseconds since the process started, plus an offset that keeps them positive. */
    @Override
    public long nowMillis() {
        return TimeUnit.HOURS.toMillis(1)
                + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    @Override
    public Subscription schedule(long delayMillis, Runnable task) {
        if (delayMillis <= 0) {
            boolean[] cancelled = new boolean[1];
            loop.execute(
                    () -> {
                        if (!cancelled[0]) {
                            task.run();
                        }
                    });
            return () -> cancelled[0] = true;
        }
        ScheduledFuture<?> future = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }
}
