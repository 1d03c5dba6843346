package dev.jayturn.daemon.link;

import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.loop.LoopTask;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Timers on an event loop, based on the monotonic clock. */
public final class EventLoopTimers implements TimerService {
    /**
     * Added to the clock, so that times shortly after the machine has booted are well above 0,
     * which means an unset time, for example in {@link OutboundConnection}.
     */
    private static final long OFFSET_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final EventLoop loop;

    public EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns the monotonic clock of the machine, which continues when the process restarts. */
    @Override
    public long nowMillis() {
        return monotonicMillis();
    }

    /** Returns the same clock as {@link #nowMillis}, before there is an event loop. */
    public static long monotonicMillis() {
        return OFFSET_MILLIS + TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        if (delayMillis <= 0) {
            boolean[] cancelled = new boolean[1];
            loop.execute(
                    () -> {
                        if (!cancelled[0]) {
                            LoopTask.run(task);
                        }
                    });
            return () -> cancelled[0] = true;
        }
        ScheduledFuture<?> future =
                loop.schedule(() -> LoopTask.run(task), delayMillis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }
}
