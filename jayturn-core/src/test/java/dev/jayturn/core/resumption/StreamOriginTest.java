package dev.jayturn.core.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import org.junit.jupiter.api.Test;

final class StreamOriginTest {
    private static Heartbeat heartbeat(String service, long incarnation, String version) {
        return new Heartbeat(
                "u1", service, "10.0.0.1:80", "a", 4, UpstreamState.READY, incarnation, 1, version);
    }

    private static final Heartbeat OLD = heartbeat("s", 1, "v1");

    @Test
    void originIsThatOfTheUpstreamThatTheRequestWasSentTo() {
        assertThat(StreamOrigin.of(OLD, OLD)).isEqualTo(new StreamOrigin("s", "v1"));
    }

    @Test
    void originIsUnknownIfTheUpstreamHasStartedAgain() {
        assertThat(StreamOrigin.of(OLD, heartbeat("s", 2, "v2")).isKnown()).isFalse();
        assertThat(StreamOrigin.of(OLD, heartbeat("s", 2, "v1")).isKnown()).isFalse();
    }

    @Test
    void upstreamWithoutAVersionContinuesNoStream() {
        Heartbeat nameless = heartbeat("s", 1, "");
        assertThat(StreamOrigin.of(nameless, nameless).isContinuedBy(nameless)).isFalse();
        assertThat(StreamOrigin.UNKNOWN.isContinuedBy(heartbeat("", 1, ""))).isFalse();
    }

    @Test
    void sameVersionOfAnotherServiceDoesNotContinueAStream() {
        StreamOrigin origin = StreamOrigin.of(OLD, OLD);
        assertThat(origin.isContinuedBy(heartbeat("s", 9, "v1"))).isTrue();
        assertThat(origin.isContinuedBy(heartbeat("s", 1, "v2"))).isFalse();
        assertThat(origin.isContinuedBy(heartbeat("t", 1, "v1"))).isFalse();
    }

    @Test
    void mergeOfDifferentOriginsIsUnknown() {
        StreamOrigin origin = StreamOrigin.of(OLD, OLD);
        assertThat(origin.merge(new StreamOrigin("s", "v1"))).isEqualTo(origin);
        assertThat(origin.merge(new StreamOrigin("s", "v2")).isKnown()).isFalse();
        assertThat(origin.merge(StreamOrigin.UNKNOWN).isKnown()).isFalse();
    }
}
