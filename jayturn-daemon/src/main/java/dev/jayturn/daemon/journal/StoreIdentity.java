package dev.jayturn.daemon.journal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.UUID;

/** The identity of a data folder; an emptied folder gets another one. */
public final class StoreIdentity {
    private static final String FILE_NAME = "store-id";

    private static final int RANDOM_ID_CHARS = 13;

    private StoreIdentity() {}

    /** Returns the folder's identity, made at random on first use. */
    public static String readOrCreate(Path folder) throws IOException {
        return readOrCreate(folder, UUID.randomUUID().toString().substring(0, RANDOM_ID_CHARS));
    }

    /** Returns the folder's identity, which is the one given on first use. */
    public static String readOrCreate(Path folder, String fresh) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(FILE_NAME);
        if (Files.exists(file)) {
            return Files.readString(file, StandardCharsets.UTF_8).trim();
        }
        Path temporary = folder.resolve(FILE_NAME + ".new");
        Files.writeString(temporary, fresh, StandardCharsets.UTF_8);
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        FileJournal.syncParentFolder(file);
        return fresh;
    }
}
