package dev.jayturn.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

/** Names the run of the machine since it was switched on. */
final class BootId {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    private BootId() {}

    /** Returns the same text in all processes of one run; one of its own if that is not told. */
    static String read() {
        try {
            return Files.readString(BOOT_ID_FILE).trim();
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("entry: The machine does not name its run.");
            return UUID.randomUUID().toString();
        }
    }
}
