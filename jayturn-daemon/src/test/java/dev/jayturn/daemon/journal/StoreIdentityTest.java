package dev.jayturn.daemon.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class StoreIdentityTest {
    private static final List<String> LOGS = List.of("a.log", "b.log");
    private static final String FOUNDER = "founder";

    @TempDir private Path folder;

    private String readOrCreate() throws Exception {
        return StoreIdentity.readOrCreate(folder, LOGS, FOUNDER);
    }

    @Test
    void folderWithItsLogsKeepsItsIdentity() throws Exception {
        assertThat(readOrCreate()).isEqualTo(FOUNDER);
        assertThat(StoreIdentity.readOrCreate(folder, LOGS)).isEqualTo(FOUNDER);
        assertThat(folder.resolve("a.log")).exists();
        assertThat(folder.resolve("b.log")).exists();
    }

    @Test
    void folderThatLostALogGetsANewIdentityEvenIfItIsStartedAsAFounder() throws Exception {
        readOrCreate();
        Files.delete(folder.resolve("b.log"));
        String identity = readOrCreate();
        assertThat(identity).isNotEqualTo(FOUNDER).isNotEmpty();
        assertThat(readOrCreate()).isEqualTo(identity);
    }

    @Test
    void crashBeforeTheIdentityIsWrittenLeavesAFolderThatCanStillFoundAFleet() throws Exception {
        Files.createFile(folder.resolve("a.log"));
        assertThat(readOrCreate()).isEqualTo(FOUNDER);
    }

    @Test
    void emptiedFolderGetsAnotherIdentity() throws Exception {
        String first = StoreIdentity.readOrCreate(folder, LOGS);
        Files.delete(folder.resolve("store-id"));
        assertThat(StoreIdentity.readOrCreate(folder, LOGS)).isNotEqualTo(first);
    }
}
