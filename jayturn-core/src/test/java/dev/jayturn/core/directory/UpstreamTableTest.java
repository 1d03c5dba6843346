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
}
