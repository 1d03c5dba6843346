package dev.jayturn.daemon.loop;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

/**
 * Ends the process when a part of it cannot go on, so that its supervisor starts it again. A
 * process without that part would still look well to its peers.
 */
public final class FatalErrors {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EXIT_FAILED = 1;

    private FatalErrors() {}

    /** Ends the process when an exception or error ends one of its threads. */
    public static void endProcessOnUncaught() {
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, error) -> endProcess("thread " + thread.getName() + " ended", error));
    }

    /** Logs a reason and ends the process at once. */
    public static void endProcess(String reason, @Nullable Throwable cause) {
        try {
            LOGGER.atSevere().withCause(cause).log("process: Ending: %s.", reason);
        } finally {
            // Logging may fail as well, for example without memory.
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
    }
}
