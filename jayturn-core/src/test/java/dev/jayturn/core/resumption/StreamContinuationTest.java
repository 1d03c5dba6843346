package dev.jayturn.core.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class StreamContinuationTest {
    @ParameterizedTest
    @CsvSource({
        "200, '', true",
        "200, text/event-stream, true",
        "200, Text/Event-Stream; charset=utf-8, true",
        "200, application/json, false",
        "200, text/event-streams, false",
        "204, '', false",
        "206, text/event-stream, false",
        "500, text/event-stream, false"
    })
    void headOfAnEventStreamIsAccepted(int status, String contentType, boolean accepted) {
        assertThat(StreamContinuation.acceptsHead(status, contentType)).isEqualTo(accepted);
    }

    @ParameterizedTest
    @CsvSource({
        "2, 3, true",
        "9, 10, true",
        "2, 9, true",
        "2, 2, false",
        "2, 1, false",
        "10, 9, false",
        "2, '', false",
        "a7, a8, true",
        "a7, a7, false",
        "99999999999999999999, 1, true"
    })
    void eventAfterTheLastOneIsAccepted(String lastId, String id, boolean accepted) {
        assertThat(StreamContinuation.acceptsEvent(lastId, id)).isEqualTo(accepted);
    }

    @Test
    void restWithoutEventsIsAcceptedOnlyIfItSaysWhereItEnds() {
        assertThat(StreamContinuation.acceptsEnd(0, true)).isTrue();
        assertThat(StreamContinuation.acceptsEnd(0, false)).isFalse();
        assertThat(StreamContinuation.acceptsEnd(1, false)).isTrue();
    }
}
