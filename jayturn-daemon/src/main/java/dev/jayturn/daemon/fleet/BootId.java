package dev.jayturn.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

/** Identifies the current boot of the operating system. */
final class BootId {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    private BootId() {}

    /**
     * Returns the kernel's boot id, which all processes share until the next boot; a random id if
     * it cannot be read.
     */
    static String read() {
        try {
            return Files.readString(BOOT_ID_FILE).trim();
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log(
                    "entry: Cannot read the boot id; using a random one.");
            return UUID.randomUUID().toString();
        }
    }
}
