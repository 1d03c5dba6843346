package dev.jayturn.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.UncheckedIOException;
import org.junit.jupiter.api.Test;

final class DocumentCompressionTest {
    private static final int HUGE_BYTES = 64 << 20;

    @Test
    void longestDocumentIsRestored() {
        byte[] document = new byte[HttpApiServer.MAX_BODY_BYTES];
        document[document.length - 1] = 1;
        byte[] compressed = DocumentCompression.compress(document);
        assertThat(DocumentCompression.decompress(compressed)).isEqualTo(document);
    }

    @Test
    void documentThatBecomesHugeIsRefused() {
        byte[] compressed = DocumentCompression.compress(new byte[HUGE_BYTES]);
        assertThat(compressed.length).isLessThan(HUGE_BYTES / 500);
        assertThatThrownBy(() -> DocumentCompression.decompress(compressed))
                .isInstanceOf(UncheckedIOException.class);
    }
}
