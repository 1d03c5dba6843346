package dev.jayturn.daemon.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Bytes;
import dev.jayturn.core.budget.IntentClosed;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.wire.MessageCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
final class FailingDiskTest {
    private static final long DURABLE_SECONDS = 5;

    @TempDir private Path folder;
    private final FailingDisk disk = new FailingDisk();
    private final CountDownLatch failed = new CountDownLatch(1);
    private final List<Integer> durable = new CopyOnWriteArrayList<>();
    private final CountDownLatch recovered = new CountDownLatch(1);
    private final JournalListener listener =
            new JournalListener() {
                @Override
                public void onFailed(IOException cause) {
                    failed.countDown();
                }

                @Override
                public void onRecovered(long failedMillis, int failedAttempts) {
                    recovered.countDown();
                }
            };
    private Path file;
    private FileJournal journal;

    @BeforeEach
    void openJournal() throws Exception {
        file = folder.resolve("j");
        journal = new FileJournal(file, Runnable::run, listener, disk);
    }

    @AfterEach
    void closeJournal() {
        journal.close();
    }

    private static JournalRecord record(int number) {
        return new IntentClosed("i" + number, number);
    }

    private void append(int number) {
        journal.append(record(number), () -> durable.add(number));
    }

    private boolean becomesDurable() throws InterruptedException {
        CountDownLatch latch = new CountDownLatch(1);
        journal.whenDurable(latch::countDown);
        return latch.await(DURABLE_SECONDS, TimeUnit.SECONDS);
    }

    private List<JournalRecord> recover() throws Exception {
        journal.close();
        try (FileJournal reopened =
                new FileJournal(file, Runnable::run, new JournalListener() {})) {
            return reopened.takeRecovered();
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
    void recordsBecomeDurableOnceTheDiskHasRoomAgain() throws Exception {
        append(0);
        assertThat(becomesDurable()).isTrue();
        disk.setFull(true);
        append(1);
        failed.await();
        append(2);
        assertThat(durable).containsExactly(0);
        assertThat(journal.isFailed()).isTrue();
        disk.setFull(false);
        assertThat(becomesDurable()).isTrue();
        assertThat(durable).containsExactly(0, 1, 2);
        assertThat(recovered.await(DURABLE_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(journal.isFailed()).isFalse();
        assertThat(recover()).isEqualTo(records(3));
    }

    @Test
    void recordsOfAFailedSyncAreWrittenAgain() throws Exception {
        append(0);
        assertThat(becomesDurable()).isTrue();
        disk.setSyncsFail(true);
        append(1);
        failed.await();
        assertThat(durable).containsExactly(0);
        disk.setSyncsFail(false);
        append(2);
        assertThat(becomesDurable()).isTrue();
        assertThat(durable).containsExactly(0, 1, 2);
        assertThat(recover()).isEqualTo(records(3));
    }

    @Test
    void rewriteThatFailsIsRepeated() throws Exception {
        append(7);
        assertThat(becomesDurable()).isTrue();
        Files.createDirectory(folder.resolve("j.new"));
        journal.rewrite(List.of(record(0), record(1)));
        failed.await();
        append(2);
        Files.delete(folder.resolve("j.new"));
        assertThat(becomesDurable()).isTrue();
        assertThat(recover()).isEqualTo(records(3));
    }

    @Test
    void fileThatCannotBeOpenedAfterARewriteIsOpenedLater() throws Exception {
        append(7);
        assertThat(becomesDurable()).isTrue();
        disk.setSyncsFail(true);
        append(8);
        failed.await();
        disk.setOpensFail(true);
        disk.setSyncsFail(false);
        journal.rewrite(List.of(record(0)));
        append(1);
        Thread.sleep(200);
        disk.setOpensFail(false);
        assertThat(becomesDurable()).isTrue();
        assertThat(recover()).isEqualTo(records(2));
    }

    @Test
    void journalOpensWhileItsDiskIsFullAndKeepsWhatItRead() throws Exception {
        append(0);
        assertThat(becomesDurable()).isTrue();
        journal.close();
        disk.setSyncsFail(true);
        journal = new FileJournal(file, Runnable::run, listener, disk);
        assertThat(journal.takeRecovered()).isEqualTo(records(1));
        append(1);
        failed.await();
        assertThat(durable).containsExactly(0);
        disk.setSyncsFail(false);
        assertThat(becomesDurable()).isTrue();
        assertThat(recover()).isEqualTo(records(2));
    }

    @Test
    void exceptionInTheWriterReachesTheUncaughtExceptionHandler() throws Exception {
        CountDownLatch uncaught = new CountDownLatch(1);
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> uncaught.countDown());
        try {
            disk.setThrowing(true);
            append(0);
            assertThat(uncaught.await(DURABLE_SECONDS, TimeUnit.SECONDS)).isTrue();
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }

    @Test
    void exceptionOfACallbackDoesNotKeepOthersFromBeingCalled() throws Exception {
        journal.append(
                record(0),
                () -> {
                    throw new IllegalStateException("a callback that fails");
                });
        append(1);
        assertThat(becomesDurable()).isTrue();
        assertThat(durable).containsExactly(1);
    }

    /** Guards against an instance that cannot start after a power loss tore what it was writing. */
    @Test
    void groupThatWasNeverSyncedMayBeTornAtItsBeginning() throws Exception {
        append(0);
        assertThat(becomesDurable()).isTrue();
        int durableBytes = (int) Files.size(file);
        disk.losePower();
        append(1);
        failed.await();
        append(2);
        append(3);
        // The next attempt writes the three records at once.
        Thread.sleep(200);
        journal.close();
        byte[] content = Files.readAllBytes(file);
        content[durableBytes + JournalFormat.HEADER_BYTES] ^= 1;
        Files.write(file, content);
        assertThat(recover()).isEqualTo(records(1));
    }

    /** Guards against a torn group that is told from damage by its last record only. */
    @Test
    void groupThatWasNeverSyncedMayBeTornInTheMiddle() throws Exception {
        append(0);
        assertThat(becomesDurable()).isTrue();
        int durableBytes = (int) Files.size(file) - JournalFormat.MARK_BYTES;
        disk.losePower();
        append(1);
        failed.await();
        append(2);
        append(3);
        Thread.sleep(200);
        journal.close();
        byte[] content = Files.readAllBytes(file);
        int recordBytes = (content.length - durableBytes) / 3;
        Arrays.fill(content, durableBytes + recordBytes, durableBytes + 2 * recordBytes, (byte) 0);
        Files.write(file, content);
        assertThat(recover()).isEqualTo(records(2));
    }

    private byte[] contentWithASyncedGroupAtItsEnd() throws Exception {
        append(0);
        assertThat(becomesDurable()).isTrue();
        disk.setFull(true);
        append(1);
        failed.await();
        append(2);
        append(3);
        disk.setFull(false);
        assertThat(becomesDurable()).isTrue();
        journal.close();
        return Files.readAllBytes(file);
    }

    /** Guards against acknowledged records that are taken for a torn tail and dropped. */
    @Test
    void damageInTheLastSyncedGroupFailsToOpen() throws Exception {
        byte[] content = contentWithASyncedGroupAtItsEnd();
        int end = content.length - JournalFormat.MARK_BYTES;
        for (int offset = 0; offset < end; offset++) {
            byte[] damaged = content.clone();
            damaged[offset] ^= 1;
            Files.write(file, damaged);
            assertThatThrownBy(this::recover)
                    .as("byte %d", offset)
                    .isInstanceOf(JournalCorruptException.class);
        }
    }

    private static byte[] recordOfAnOlderBuild(int number) {
        byte[] body = MessageCodec.encode(record(number));
        return ByteBuffer.allocate(JournalFormat.HEADER_BYTES + body.length)
                .putInt(body.length)
                .putInt(Hashing.crc32c().hashBytes(body).asInt())
                .put(body)
                .array();
    }

    @Test
    void recordsOfAnOlderBuildAreReadAndTheirDamageIsFound() throws Exception {
        journal.close();
        byte[] content =
                Bytes.concat(
                        recordOfAnOlderBuild(0), recordOfAnOlderBuild(1), recordOfAnOlderBuild(2));
        Files.write(file, content);
        assertThat(recover()).isEqualTo(records(3));
        content[JournalFormat.HEADER_BYTES] ^= 1;
        Files.write(file, content);
        assertThatThrownBy(this::recover).isInstanceOf(JournalCorruptException.class);
    }
}
