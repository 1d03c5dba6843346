package dev.jayturn.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EmbeddedHeadScannerTest {
    private static final String HEAD = "HTTP/1.1 500 No\r\nContent-Length: 6\r\nX-Id: r1\r\n\r\n";

    private static EmbeddedHeadScanner newScanner() {
        return new EmbeddedHeadScanner("x-id", id -> id.equals("r1"));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static boolean scan(String body, int partBytes) {
        EmbeddedHeadScanner scanner = newScanner();
        boolean found = false;
        for (int i = 0; i < body.length(); i += partBytes) {
            found = scanner.scan(bytes(body.substring(i, Math.min(body.length(), i + partBytes))));
        }
        return found;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 11, 12, 13, 1_000})
    void headIsFoundInPartsOfAnySize(int partBytes) {
        assertThat(scan("body" + HEAD + "second", partBytes)).isTrue();
        assertThat(scan(HEAD, partBytes)).isTrue();
        assertThat(scan("HTTP/1.HTTP/1.1 2HHT" + HEAD, partBytes)).isTrue();
        assertThat(scan("HTTP/1.1 200 O" + HEAD, partBytes)).isTrue();
        assertThat(scan("HTTP/1.1 200 OK\r\nX: y" + HEAD, partBytes)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 1_000})
    void soundBodyIsNotTakenForAHead(int partBytes) {
        assertThat(scan(HEAD.replace("r1", "r2"), partBytes)).isFalse();
        assertThat(scan("HTTP/1.1 500 No\r\n\r\nX-Id: r1\r\n", partBytes)).isFalse();
        assertThat(scan("HTTP/1.1 500 No\r\ntext\r\nX-Id: r1\r\n", partBytes)).isFalse();
        assertThat(scan(HEAD.replace("\r\n", "\n"), partBytes)).isFalse();
        assertThat(scan(HEAD.replace("\r\n", "\\r\\n"), partBytes)).isFalse();
        assertThat(scan("HTTP/1.1 " + "5".repeat(100_000) + "\r\nX-Id: r1\r\n", partBytes))
                .isFalse();
    }

    @Test
    void headThatBeginsInTheBodyMayEndBehindIt() {
        for (int i = 1; i < HEAD.length(); i++) {
            EmbeddedHeadScanner scanner = newScanner();
            boolean inBody = scanner.scan(bytes("body" + HEAD.substring(0, i)));
            assertThat(inBody || scanner.scanBehindBody(bytes(HEAD.substring(i)))).isTrue();
        }
    }

    @Test
    void headThatBeginsBehindTheBodyIsOfAnotherResponse() {
        for (String body : new String[] {"body", "bodyH", "HTTP/1.1 500 No\r\nX: y\r\n"}) {
            EmbeddedHeadScanner scanner = newScanner();
            assertThat(scanner.scan(bytes(body))).isFalse();
            assertThat(scanner.scanBehindBody(bytes(HEAD))).isFalse();
        }
    }
}
