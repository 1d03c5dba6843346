package dev.jayturn.daemon.loop;

import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.jspecify.annotations.Nullable;

/**
 * Ends the process when a part of it cannot go on, so that its supervisor starts it again. A
 * process without that part would still look well to its peers.
 */
public final class FatalErrors {
    private static final int EXIT_FAILED = 1;

    private FatalErrors() {}

    /** Ends the process when an exception or error ends one of its threads. */
    public static void endProcessOnUncaught() {
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, error) -> endProcess("thread " + thread.getName() + " ended", error));
    }

    /** Writes a reason to standard error and ends the process at once. */
    public static void endProcess(String reason, @Nullable Throwable cause) {
        try {
            // Not through a logger, which may be what has failed.
            System.err.println("process: Ending: " + reason);
            if (cause != null) {
                cause.printStackTrace();
            }
        } finally {
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
    }

    /**
     * Loads what the first log line needs, such as time zones. A process that is out of descriptors
     * could not load it, and the loop that logs the failed accept would end.
     */
    public static void prepareLogging() {
        new SimpleFormatter().format(new LogRecord(Level.INFO, ""));
        Logger.getLogger("").getHandlers();
    }
}
