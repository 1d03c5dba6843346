package dev.jayturn.daemon.loop;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import io.vavr.CheckedFunction0;
import io.vavr.control.Try;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs all decision logic on a single thread and provides its clock and timers. */
public final class ControlLoop implements TimerService, Executor, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor executor;

    public ControlLoop() {
        executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "control"));
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(() -> LoopTask.run(task));
        } catch (RejectedExecutionException e) {
            LOGGER.atFine().log("loop: Dropped a task submitted after shutdown.");
        }
    }

    /**
     * Runs a task on the loop and waits for its result.
     *
     * @throws RejectedExecutionException if the loop is closed
     */
    public <T> Try<T> call(CheckedFunction0<T> task) {
        CompletableFuture<Try<T>> result = new CompletableFuture<>();
        executor.execute(
                () -> {
                    try {
                        result.complete(Try.of(task));
                    } catch (Error e) {
                        // Try throws errors such as a failure to link a class.
                        result.completeExceptionally(e);
                    }
                });
        return result.join();
    }

    @Override
    public long nowMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        try {
            ScheduledFuture<?> future =
                    executor.schedule(() -> LoopTask.run(task), delayMillis, TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException e) {
            return () -> {};
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
