package dev.jayturn.daemon.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.jayturn.core.budget.IntentClosed;
import dev.jayturn.core.journal.JournalRecord;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class FileJournalTest {
    private static final JournalListener LISTENER = new JournalListener() {};

    @TempDir private Path folder;
    private Path journalFile;

    @BeforeEach
    void setUp() {
        journalFile = folder.resolve("j");
    }

    private static JournalRecord record(int number) {
        return new IntentClosed("i" + number, number);
    }

    private void appendRecords(int from, int to) throws Exception {
        try (FileJournal journal = new FileJournal(journalFile, Runnable::run, LISTENER)) {
            CountDownLatch durable = new CountDownLatch(to - from);
            for (int i = from; i < to; i++) {
                journal.append(record(i), durable::countDown);
            }
            assertThat(durable.await(30, TimeUnit.SECONDS)).isTrue();
        }
    }

    private List<JournalRecord> recoverRecords() throws Exception {
        try (FileJournal journal = new FileJournal(journalFile, Runnable::run, LISTENER)) {
            return journal.takeRecovered();
        }
    }

    private static List<JournalRecord> records(int count) {
        List<JournalRecord> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            records.add(record(i));
        }
        return records;
    }

    @Test
    void acknowledgedRecordsAreRecoveredInOrder() throws Exception {
        appendRecords(0, 100);
        appendRecords(100, 150);
        assertThat(recoverRecords()).isEqualTo(records(150));
    }

    @Test
    void tornTailOfAnyLengthIsTruncated() throws Exception {
        appendRecords(0, 3);
        byte[] complete = Files.readAllBytes(journalFile);
        appendRecords(3, 4);
        byte[] withTornRecord = Files.readAllBytes(journalFile);
        int end = complete.length - JournalFormat.MARK_BYTES;
        int wholeRecord = withTornRecord.length - JournalFormat.MARK_BYTES;
        for (int size = end; size < wholeRecord; size++) {
            Files.write(journalFile, Arrays.copyOf(withTornRecord, size));
            assertThat(recoverRecords()).as("%d bytes", size).isEqualTo(records(3));
            assertThat(Files.size(journalFile)).isEqualTo(complete.length);
        }
    }

    @Test
    void damagedRecordBeforeTheTailFailsToOpen() throws Exception {
        appendRecords(0, 5);
        byte[] bytes = Files.readAllBytes(journalFile);
        bytes[JournalFormat.HEADER_BYTES + 2] ^= 1;
        Files.write(journalFile, bytes);
        assertThatThrownBy(this::recoverRecords)
                .isInstanceOf(JournalCorruptException.class)
                .hasMessageContaining("8001");
        assertThat(Files.readAllBytes(journalFile)).isEqualTo(bytes);
    }

    @Test
    void rewriteReplacesEarlierRecordsAndKeepsLaterOnes() throws Exception {
        try (FileJournal journal = new FileJournal(journalFile, Runnable::run, LISTENER)) {
            CountDownLatch durable = new CountDownLatch(1);
            journal.append(record(7), () -> {});
            journal.rewrite(List.of(record(0), record(1)));
            journal.append(record(2), durable::countDown);
            assertThat(durable.await(30, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(recoverRecords()).isEqualTo(records(3));
    }

    @Test
    void interruptedRewriteKeepsTheOldFile() throws Exception {
        appendRecords(0, 2);
        Files.writeString(folder.resolve("j.new"), "half", StandardOpenOption.CREATE);
        assertThat(recoverRecords()).isEqualTo(records(2));
        assertThat(folder.resolve("j.new")).doesNotExist();
    }

    @Test
    void missingFolderFailsToOpen() {
        assertThatThrownBy(() -> new FileJournal(folder.resolve("no/j"), Runnable::run, LISTENER))
                .isInstanceOf(IOException.class);
    }

    @Test
    void storeWithoutIdentityFileGetsANewIdentity() throws Exception {
        String first = StoreIdentity.readOrCreate(folder, List.of());
        assertThat(StoreIdentity.readOrCreate(folder, List.of())).isEqualTo(first);
        Files.delete(folder.resolve("store-id"));
        assertThat(StoreIdentity.readOrCreate(folder, List.of())).isNotEqualTo(first);
    }
}
