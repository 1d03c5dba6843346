package dev.jayturn.daemon.link;

import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Timers on an event loop, by its steady clock. */
public final class EventLoopTimers implements TimerService {
    /** Keeps times a while after the start of the machine well above 0. */
    private static final long OFFSET_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final EventLoop loop;

    public EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns the machine's steady clock, which goes on over restarts of the process. */
    @Override
    public long nowMillis() {
        return OFFSET_MILLIS + TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
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
