package dev.jayturn.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class UpstreamTableTest {
    private final UpstreamTable table = new UpstreamTable();

    private static Heartbeat heartbeat(long incarnation, long sequence, UpstreamState state) {
        return new Heartbeat(
                "u1", "press", "10.0.0.1:80", "a", 4, state, incarnation, sequence, "v1");
    }

    @Test
    void lateHeartbeatDoesNotReplaceANewerOne() {
        table.accept(heartbeat(1, 5, UpstreamState.DRAINING), 0);
        assertThat(table.accept(heartbeat(1, 4, UpstreamState.READY), 1)).isFalse();
        assertThat(table.changedSince(0)).containsExactly(heartbeat(1, 5, UpstreamState.DRAINING));
    }

    private static Heartbeat cold(long sequence, long coldMillis) {
        return new Heartbeat(
                "u1",
                "press",
                "10.0.0.1:80",
                "a",
                4,
                UpstreamState.READY,
                1,
                sequence,
                "v1",
                coldMillis);
    }

    @Test
    void startExtensionAndEndOfTheColdTimeAreChanges() {
        table.accept(cold(1, 0), 0);
        assertThat(table.accept(cold(2, 3_000), 1)).isTrue();
        assertThat(table.accept(cold(3, 1_800), 2)).isFalse();
        assertThat(table.accept(cold(4, 2_500), 3)).isTrue();
        assertThat(table.changedSince(0)).containsExactly(cold(4, 2_500));
        assertThat(table.accept(cold(5, 0), 4)).isTrue();
        assertThat(table.accept(cold(6, 0), 5)).isFalse();
    }

    @Test
    void newIncarnationRestartsTheSequence() {
        table.accept(heartbeat(1, 50, UpstreamState.READY), 0);
        assertThat(table.accept(heartbeat(2, 1, UpstreamState.READY), 1)).isTrue();
        assertThat(table.accept(heartbeat(1, 51, UpstreamState.READY), 2)).isFalse();
    }

    @Test
    void heartbeatsOfAGoneIncarnationAreIgnored() {
        table.accept(heartbeat(1, 1, UpstreamState.READY), 0);
        table.markGone("u1", 0, 1);
        assertThat(table.accept(heartbeat(1, 9, UpstreamState.READY), 2)).isFalse();
        assertThat(table.accept(heartbeat(2, 1, UpstreamState.READY), 3)).isTrue();
    }

    @Test
    void departureOfAnEarlierIncarnationIsIgnored() {
        table.accept(heartbeat(2, 1, UpstreamState.READY), 0);
        assertThat(table.markGone("u1", 1, 1)).isNull();
    }

    @Test
    void heartbeatWithoutAChangeDoesNotAdvanceTheRevision() {
        table.accept(heartbeat(1, 1, UpstreamState.READY), 0);
        long revision = table.revision();
        table.accept(heartbeat(1, 2, UpstreamState.READY), 1);
        assertThat(table.changedSince(revision)).isEmpty();
    }

    @Test
    void onlyDirectlyReceivedHeartbeatsAreForwarded() {
        table.accept(heartbeat(1, 1, UpstreamState.READY), 0);
        assertThat(table.receivedDirectlySince(0)).isEmpty();
        table.acceptDirect(heartbeat(1, 2, UpstreamState.READY), 1);
        assertThat(table.receivedDirectlySince(1)).hasSize(1);
    }

    @Test
    void departureWinsOverNewerHeartbeatsOfItsIncarnationInEitherOrder() {
        table.accept(heartbeat(1, 5, UpstreamState.READY), 0);
        Heartbeat departure = table.markGone("u1", 1, 1);
        UpstreamTable other = new UpstreamTable();
        other.accept(heartbeat(1, 6, UpstreamState.READY), 0);
        assertThat(departure).isNotNull();
        assertThat(departure.isAfter(heartbeat(1, 6, UpstreamState.READY))).isTrue();
        assertThat(heartbeat(1, 6, UpstreamState.READY).isAfter(departure)).isFalse();
        assertThat(other.accept(departure, 1)).isTrue();
        assertThat(other.accept(heartbeat(1, 7, UpstreamState.READY), 2)).isFalse();
        assertThat(other.changedSince(0)).extracting("state").containsExactly(UpstreamState.GONE);
    }

    @Test
    void departureOfAnUnknownUpstreamIsRemembered() {
        assertThat(table.markGone("u1", 3, 0)).isNotNull();
        assertThat(table.accept(heartbeat(3, 9, UpstreamState.READY), 1)).isFalse();
        assertThat(table.accept(heartbeat(4, 1, UpstreamState.READY), 2)).isTrue();
    }

    @Test
    void departureOfAnUnknownIncarnationIsRemembered() {
        table.accept(heartbeat(1, 5, UpstreamState.READY), 0);
        assertThat(table.markGone("u1", 2, 1)).isNotNull();
        assertThat(table.accept(heartbeat(2, 9, UpstreamState.READY), 2)).isFalse();
        assertThat(table.accept(heartbeat(1, 6, UpstreamState.READY), 2)).isFalse();
    }

    @Test
    void numberOfDeparturesOfUnknownUpstreamsIsLimited() {
        for (int i = 0; i < 20_000; i++) {
            table.markGone("unknown-" + i, 1, 0);
        }
        assertThat(table.changedSince(0)).hasSizeLessThanOrEqualTo(8_000);
        table.accept(heartbeat(1, 1, UpstreamState.READY), 1);
        assertThat(table.changedSince(0)).contains(heartbeat(1, 1, UpstreamState.READY));
    }

    @Test
    void departureIsForwardedAgain() {
        table.accept(heartbeat(1, 5, UpstreamState.READY), 0);
        Heartbeat departure = table.markGone("u1", 1, 1_000);
        assertThat(table.departuresSince(1_000)).containsExactly(departure);
        assertThat(table.departuresSince(1_001)).isEmpty();
    }

    private static Heartbeat at(String id, String address, long sequence) {
        return new Heartbeat(id, "press", address, "a", 4, UpstreamState.READY, 1, sequence, "v1");
    }

    @Test
    void invalidHeartbeatIsIgnored() {
        table.accept(at("", "10.0.0.1:80", 1), 0);
        table.accept(at("a\u0000", "10.0.0.1:80", 1), 0);
        table.accept(at("x".repeat(3_000), "10.0.0.1:80", 1), 0);
        table.accept(at("u2", "10.0.0.1:70000", 1), 0);
        table.accept(at("u3", "10.0.0.1:0", 1), 0);
        table.accept(at("u4", "10.0.0.1", 1), 0);
        table.accept(at("u5", "host:80", 1), 0);
        table.accept(at("u6", "", 1), 0);
        table.accept(at("u7", "10.0.0.1:80", Long.MAX_VALUE), 0);
        assertThat(table.changedSince(0)).isEmpty();
        table.accept(at("u8", "[fe80::1]:80", 1), 0);
        assertThat(table.changedSince(0)).hasSize(1);
    }

    @Test
    void heartbeatOfAnotherWriterDoesNotReplaceThatOfTheIncarnation() {
        table.accept(at("u1", "10.0.0.1:80", 1), 0);
        assertThat(table.accept(at("u1", "10.0.0.2:80", 2), 1)).isFalse();
        table.accept(at("u1", "10.0.0.1:80", 900_000_000), 2);
        Heartbeat draining =
                new Heartbeat(
                        "u1", "press", "10.0.0.1:80", "a", 4, UpstreamState.DRAINING, 1, 3, "v1");
        assertThat(table.accept(draining, 3)).isTrue();
    }

    @Test
    void heartbeatAfterALongSilenceIsAccepted() {
        table.accept(at("u1", "10.0.0.1:80", 1), 0);
        table.accept(at("u1", "10.0.0.1:80", 900_000), 3_600_000);
        assertThat(table.changedSince(0)).isNotEmpty();
        assertThat(table.receivedDirectlySince(0)).isEmpty();
        table.acceptDirect(at("u1", "10.0.0.1:80", 900_001), 3_600_001);
        assertThat(table.receivedDirectlySince(0)).hasSize(1);
    }

    @Test
    void soundUpstreamsStayWhenIdsAreInvented() {
        for (int i = 0; i < 100; i++) {
            table.accept(at("sound" + i, "10.0.0.1:80", 1), 0);
            table.accept(at("sound" + i, "10.0.0.1:80", 2), 1);
        }
        for (int i = 0; i < 50_000; i++) {
            table.accept(at("invented" + i, "10.0.0.1:80", 1), 2);
        }
        assertThat(table.changedSince(0))
                .hasSizeLessThanOrEqualTo(8_000)
                .filteredOn(heartbeat -> heartbeat.id().startsWith("sound"))
                .hasSize(100);
    }
}
