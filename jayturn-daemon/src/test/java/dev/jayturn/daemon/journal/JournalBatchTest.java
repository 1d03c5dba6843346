package dev.jayturn.daemon.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class JournalBatchTest {
    private final List<String> called = new ArrayList<>();

    private static byte[] body(int length) {
        return new byte[length];
    }

    private static void callAll(JournalBatch batch) {
        batch.callbacks().forEach(Runnable::run);
    }

    @Test
    void replacementDropsTheRecordsBeforeItButNotTheirCallbacks() {
        JournalBatch batch = new JournalBatch();
        batch.append(body(100), () -> called.add("first"));
        batch.replaceFile(List.of(body(30)));
        batch.append(body(7), () -> called.add("second"));
        assertThat(batch.bytes()).isEqualTo(37);
        callAll(batch);
        assertThat(called).containsExactly("first", "second");
    }

    @Test
    void laterReplacementDropsTheRecordsOfAFailedBatch() {
        JournalBatch failed = new JournalBatch();
        failed.append(body(100), () -> called.add("first"));
        JournalBatch later = new JournalBatch();
        later.replaceFile(List.of(body(30)));
        later.append(body(7), () -> called.add("second"));
        failed.addAll(later);
        assertThat(failed.bytes()).isEqualTo(37);
        assertThat(failed.replacesFile()).isTrue();
        callAll(failed);
        assertThat(called).containsExactly("first", "second");
    }
}
