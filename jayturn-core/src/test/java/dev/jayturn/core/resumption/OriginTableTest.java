package dev.jayturn.core.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class OriginTableTest {
    private static final StreamOrigin OLD = new StreamOrigin("s", "v1");
    private static final StreamOrigin NEW = new StreamOrigin("s", "v2");

    private final OriginTable table = new OriginTable(3);

    private boolean isRecorded(long stream, long nowMillis) {
        return table.find(stream, nowMillis) != null;
    }

    private StreamOrigin origin(long stream) {
        OriginRecord found = table.find(stream, 0);
        return found == null ? StreamOrigin.UNKNOWN : found.origin();
    }

    @Test
    void recordEndsWithTheTimeForWhichTheStreamMayBeResumed() {
        table.put(1, OLD, 1_000, 0);
        assertThat(isRecorded(1, 999)).isTrue();
        assertThat(isRecorded(1, 1_000)).isFalse();
        table.removeExpired(1_000);
        assertThat(table.size()).isZero();
    }

    @Test
    void confirmationProlongsARecordAndNeverShortensIt() {
        table.put(1, OLD, 1_000, 0);
        table.put(1, OLD, 1_000, 500);
        table.put(1, OLD, 10, 600);
        assertThat(isRecorded(1, 1_499)).isTrue();
    }

    @Test
    void streamWithTwoOriginsIsUnknown() {
        table.put(1, OLD, 1_000, 0);
        table.put(1, NEW, 1_000, 0);
        assertThat(isRecorded(1, 0)).isTrue();
        assertThat(origin(1).isKnown()).isFalse();
        table.put(1, NEW, 1_000, 0);
        assertThat(origin(1).isKnown()).isFalse();
    }

    @Test
    void expiredRecordDoesNotSpoilAnotherStreamOfThatId() {
        table.put(1, OLD, 1_000, 0);
        table.put(1, NEW, 2_000, 1_000);
        OriginRecord found = table.find(1, 1_000);
        assertThat(found).isNotNull();
        assertThat(found.origin()).isEqualTo(NEW);
    }

    @Test
    void fullTableDropsTheOldestRecord() {
        for (int stream = 1; stream <= 3; stream++) {
            table.put(stream, OLD, 1_000, 0);
        }
        table.put(1, OLD, 1_000, 1);
        table.put(4, OLD, 1_000, 2);
        assertThat(table.size()).isEqualTo(3);
        assertThat(isRecorded(2, 2)).isFalse();
        assertThat(isRecorded(1, 2)).isTrue();
    }

    @Test
    void callersOfOneCustomerCannotNameTheStreamsOfAnother() {
        assertThat(StreamId.of("a", "r1")).isNotEqualTo(StreamId.of("b", "r1"));
        assertThat(StreamId.of("a", "br1")).isNotEqualTo(StreamId.of("ab", "r1"));
    }
}
