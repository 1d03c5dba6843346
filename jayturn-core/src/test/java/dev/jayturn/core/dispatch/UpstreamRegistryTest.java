package dev.jayturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import org.junit.jupiter.api.Test;

final class UpstreamRegistryTest {
    private final UpstreamRegistry upstreams = new UpstreamRegistry(service -> 1_000);

    private static Heartbeat heartbeat(
            String id, String service, long incarnation, UpstreamState state) {
        return new Heartbeat(id, service, "10.0.0.1:80", "a", 4, state, incarnation, 1, "v1");
    }

    @Test
    void drainingUpstreamGetsNoNewWork() {
        upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.READY));
        assertThat(upstreams.ofService("press")).hasSize(1);
        assertThat(upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.DRAINING)))
                .isNotNull();
        assertThat(upstreams.ofService("press")).isEmpty();
    }

    @Test
    void addressBelongsToTheLatestIncarnation() {
        upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.READY));
        upstreams.accept(heartbeat("u2", "scale", 2, UpstreamState.READY));
        assertThat(upstreams.ofService("press")).isEmpty();
        assertThat(upstreams.ofService("scale")).hasSize(1);
    }

    @Test
    void delayedHeartbeatOfAReplacedUpstreamIsIgnored() {
        upstreams.accept(heartbeat("u2", "scale", 2, UpstreamState.READY));
        upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.READY));
        assertThat(upstreams.ofService("press")).isEmpty();
    }

    @Test
    void leavingUpstreamStaysOutWhateverItsLaterHeartbeatsSay() {
        upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.READY));
        assertThat(upstreams.markLeaving(upstreams.ofService("press").get(0))).isTrue();
        assertThat(upstreams.ofService("press")).isEmpty();
        upstreams.accept(
                new Heartbeat(
                        "u1", "press", "10.0.0.1:80", "a", 4, UpstreamState.READY, 1, 9, "v1"));
        assertThat(upstreams.ofService("press")).isEmpty();
        upstreams.accept(heartbeat("u1", "press", 2, UpstreamState.READY));
        assertThat(upstreams.ofService("press")).hasSize(1);
    }

    @Test
    void lateResponseOfAnEarlierIncarnationDoesNotRemoveTheCurrentOne() {
        upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.READY));
        UpstreamLoad earlier = upstreams.ofService("press").get(0);
        upstreams.accept(heartbeat("u1", "press", 2, UpstreamState.READY));
        upstreams.markLeaving(earlier);
        assertThat(upstreams.ofService("press")).hasSize(1);
        assertThat(upstreams.isReady(earlier)).isFalse();
    }

    @Test
    void newIncarnationWithTheSameIdStartsWithoutHistory() {
        upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.READY));
        upstreams.ofService("press").get(0).requestFailed();
        upstreams.accept(heartbeat("u1", "press", 2, UpstreamState.READY));
        assertThat(upstreams.ofService("press").get(0).failureRate()).isZero();
    }

    @Test
    void departureWinsOverHeartbeatsOfItsIncarnationInEitherOrder() {
        Heartbeat ready =
                new Heartbeat(
                        "u1", "press", "10.0.0.1:80", "a", 4, UpstreamState.READY, 1, 9, "v1");
        Heartbeat gone = heartbeat("u1", "press", 1, UpstreamState.GONE);
        upstreams.accept(ready);
        assertThat(upstreams.accept(gone)).isNotNull();
        assertThat(upstreams.ofService("press")).isEmpty();
        upstreams.accept(ready);
        assertThat(upstreams.ofService("press")).isEmpty();
        UpstreamRegistry other = new UpstreamRegistry(service -> 1_000);
        other.accept(gone);
        other.accept(ready);
        assertThat(other.ofService("press")).isEmpty();
    }

    @Test
    void departureIsAppliedAlsoWhenAnotherUpstreamHasTheAddress() {
        upstreams.accept(heartbeat("u2", "scale", 5, UpstreamState.READY));
        upstreams.accept(
                new Heartbeat(
                        "u1", "press", "10.0.0.2:80", "a", 4, UpstreamState.READY, 1, 1, "v1"));
        upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.GONE));
        assertThat(upstreams.ofService("press")).isEmpty();
        assertThat(upstreams.ofService("scale")).hasSize(1);
    }

    private static Heartbeat at(String id, String address) {
        return new Heartbeat(id, "press", address, "a", 4, UpstreamState.READY, 1, 1, "v1");
    }

    @Test
    void heartbeatThatNamesNoUsableAddressIsIgnored() {
        upstreams.accept(at("u1", "10.0.0.1:70000"));
        upstreams.accept(at("u2", "10.0.0.1:x"));
        upstreams.accept(at("u3", "10.0.0.1"));
        upstreams.accept(at("u4", "host:80"));
        upstreams.accept(at("u5\r\n", "10.0.0.1:80"));
        assertThat(upstreams.all()).isEmpty();
        upstreams.accept(at("u6", "10.0.0.1:80"));
        assertThat(upstreams.all()).hasSize(1);
    }

    @Test
    void knownUpstreamsStayWhenIdsAreInvented() {
        upstreams.accept(at("u1", "10.0.0.1:80"));
        for (int i = 0; i < 40_000; i++) {
            upstreams.accept(at("invented" + i, "10.1." + i / 250 + '.' + i % 250 + ":80"));
        }
        assertThat(upstreams.all()).hasSizeLessThanOrEqualTo(16_000);
        assertThat(upstreams.all()).extracting(u -> u.heartbeat().id()).contains("u1");
        upstreams.accept(heartbeat("u1", "press", 1, UpstreamState.GONE));
        upstreams.accept(at("u2", "10.0.0.2:80"));
        assertThat(upstreams.all()).extracting(u -> u.heartbeat().id()).contains("u2");
    }
}
