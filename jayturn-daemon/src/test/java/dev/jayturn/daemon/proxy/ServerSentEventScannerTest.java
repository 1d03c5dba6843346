package dev.jayturn.daemon.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

final class ServerSentEventScannerTest {
    private final ServerSentEventScanner scanner =
            new ServerSentEventScanner(UnpooledByteBufAllocator.DEFAULT, "before");

    private String scan(String text) {
        ByteBuf completeEvents = scanner.scan(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return completeEvents.toString(StandardCharsets.UTF_8);
    }

    @Test
    void onlyCompleteEventsAreReturned() {
        assertThat(scan("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(scanner.lastId()).isEqualTo("1");
        assertThat(scan("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(scanner.lastId()).isEqualTo("2");
        assertThat(scanner.eventCount()).isEqualTo(2);
        assertThat(scanner.hasPartialEvent()).isFalse();
    }

    @Test
    void truncatedEventIsDiscardedWithItsId() {
        scan("id: 1\ndata: a\n\nid: 2\ndata: b\n");
        assertThat(scanner.hasPartialEvent()).isTrue();
        scanner.discardPartialEvent();
        assertThat(scan("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(scanner.eventCount()).isEqualTo(2);
    }

    @Test
    void streamWithoutCompleteEventsKeepsTheCallersLastEventId() {
        scan("id: 1\nda");
        scanner.discardPartialEvent();
        assertThat(scanner.lastId()).isEqualTo("before");
    }

    @Test
    void eventIsTheSameHoweverItsBytesArrive() {
        String events = "id: 1\ndata: a\n\n: comment\r\n\r\nid: 22\ndata: b\n\n";
        StringBuilder forwarded = new StringBuilder();
        for (char character : events.toCharArray()) {
            forwarded.append(scan(String.valueOf(character)));
        }
        assertThat(forwarded.toString()).isEqualTo(events);
        assertThat(scanner.eventCount()).isEqualTo(3);
        assertThat(scanner.lastId()).isEqualTo("22");
    }

    @Test
    @Timeout(5)
    void eventWithoutEndIsReportedAfterABoundedNumberOfBytes() {
        int bytes = 0;
        while (!scanner.isEventTooLong()) {
            assertThat(scan("data: x\n")).isEmpty();
            bytes += 8;
            assertThat(bytes).isLessThan(1 << 20);
        }
    }

    @Test
    void linesMayEndWithCarriageReturnAndLineFeed() {
        assertThat(scan("id: 7\r\ndata: x\r\n\r\n")).isEqualTo("id: 7\r\ndata: x\r\n\r\n");
        assertThat(scanner.lastId()).isEqualTo("7");
    }

    @Test
    void eventsWithoutIdsCannotBeContinuedButCommentsCan() {
        ServerSentEventScanner fresh =
                new ServerSentEventScanner(UnpooledByteBufAllocator.DEFAULT, "");
        fresh.scan(Unpooled.copiedBuffer(": alive\n\n", StandardCharsets.UTF_8));
        assertThat(fresh.canBeContinued()).isTrue();
        fresh.scan(Unpooled.copiedBuffer("data: a\n\n", StandardCharsets.UTF_8));
        assertThat(fresh.canBeContinued()).isFalse();
    }

    @Test
    void eventsBeforeAMalformedLineAreReturnedAndNothingBehindThem() {
        assertThat(scan("id: 1\ndata: a\n\nHTTP/1.1 500 Error\r\nX: y\r\n\r\nid: 2\n\n"))
                .isEqualTo("id: 1\ndata: a\n\n");
        assertThat(scanner.isMalformed()).isTrue();
        scanner.startContinuation();
        assertThat(scan("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(scanner.isMalformed()).isFalse();
    }
}
