package dev.jayturn.daemon.journal;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.UUID;

/**
 * The identity of a data folder, kept in a file in it. An emptied folder gets a new one, and so
 * does one that has lost a log: the member of that identity has promised what was in the log.
 */
public final class StoreIdentity {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String FILE_NAME = "store-id";

    private static final int RANDOM_ID_CHARS = 13;

    private StoreIdentity() {}

    /**
     * Returns the folder's identity, a random one on first use.
     *
     * @param logs names of the files in the folder that the identity stands for
     */
    public static String readOrCreate(Path folder, List<String> logs) throws IOException {
        return readOrCreate(folder, logs, randomIdentity());
    }

    /**
     * Returns the folder's identity, on first use {@code newIdentity}. If one of its logs is lost,
     * the folder gets a random identity.
     */
    public static String readOrCreate(Path folder, List<String> logs, String newIdentity)
            throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(FILE_NAME);
        List<String> missing =
                logs.stream().filter(log -> Files.notExists(folder.resolve(log))).toList();
        if (Files.notExists(file)) {
            // The logs come first, so that a crash in between leaves no identity without its logs.
            createLogs(folder, missing);
            write(file, newIdentity);
            return newIdentity;
        }
        if (missing.isEmpty()) {
            return Files.readString(file, StandardCharsets.UTF_8).trim();
        }
        LOGGER.atSevere().log("journal: %s has lost %s; it gets a new identity.", folder, missing);
        String identity = randomIdentity();
        write(file, identity);
        createLogs(folder, missing);
        return identity;
    }

    private static void createLogs(Path folder, List<String> names) throws IOException {
        for (String name : names) {
            Path log = folder.resolve(name);
            try (FileChannel channel =
                    FileChannel.open(
                            log, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
                channel.force(true);
            }
            FileJournal.syncParentFolder(log);
        }
    }

    private static String randomIdentity() {
        return UUID.randomUUID().toString().substring(0, RANDOM_ID_CHARS);
    }

    private static void write(Path file, String identity) throws IOException {
        Path temporary = file.resolveSibling(FILE_NAME + ".new");
        Files.writeString(temporary, identity, StandardCharsets.UTF_8);
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        FileJournal.syncParentFolder(file);
    }
}
