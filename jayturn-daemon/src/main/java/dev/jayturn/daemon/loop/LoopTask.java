package dev.jayturn.daemon.loop;

import com.google.common.flogger.FluentLogger;
import io.netty.util.internal.OutOfDirectMemoryError;

/** Runs a task of a loop, whose failure must neither end the loop nor stay unseen. */
public final class LoopTask {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private LoopTask() {}

    /**
     * Runs a task. An exception, a stack overflow or a lack of direct memory, which passes, costs
     * this task only and is logged; any other error goes to the handler of uncaught exceptions.
     */
    public static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError | OutOfDirectMemoryError e) {
            LOGGER.atSevere().withCause(e).log("loop: A task failed.");
        } catch (Error e) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }
}
