package dev.jayturn.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** One instance alone, which owns all permits. */
final class ColdUpstreamsTest {
    private static final String SELF = "entry-0";
    private static final String LIMITED = "model";
    private static final String OTHER = "press";
    private static final double TOLERATED = 7.9;
    private static final long REMAINING_MILLIS = 3_000;
    private static final long ENDED_MILLIS = 4_000;

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess(SELF, time, new VirtualNetwork(time, new Random(1)));
    private final UpstreamRateLimiter limiter =
            new UpstreamRateLimiter(
                    SELF, process, process, List::of, (upstream, rate, age) -> {}, () -> {});
    private final List<String> changes = new ArrayList<>();
    private boolean isCurrent = true;
    private int instances = 1;
    private final ColdUpstreams cold =
            new ColdUpstreams(
                    limiter,
                    process,
                    service -> service.equals(LIMITED) ? TOLERATED : 0,
                    () -> isCurrent,
                    () -> instances,
                    new SeededRandom(new Random(1)),
                    (upstream, remainingMillis) -> changes.add(upstream + ' ' + remainingMillis));

    ColdUpstreamsTest() {
        limiter.setInstances(List.of(SELF));
    }

    private static Heartbeat heartbeat(
            String service, long incarnation, long sequence, long coldMillis) {
        return new Heartbeat(
                "u",
                service,
                "10.0.0.1:80",
                "a",
                4,
                UpstreamState.READY,
                incarnation,
                sequence,
                "v1",
                coldMillis);
    }

    /** Sends as much as is admitted; returns the number of requests. */
    private int sendFor(long millis, String incarnationId) {
        int sent = 0;
        long end = time.nowMillis() + millis;
        while (time.nowMillis() < end) {
            if (cold.admits(incarnationId)) {
                cold.acquire(incarnationId);
                sent++;
            }
            time.runFor(5);
        }
        return sent;
    }

    @Test
    void coldUpstreamIsLimitedUntilAHeartbeatSaysThatItIsWarm() {
        cold.onHeartbeat(heartbeat(LIMITED, 1, 1, REMAINING_MILLIS));
        assertThat(cold.isLimited("u/1")).isTrue();
        assertThat(cold.coldUpstreams()).isEqualTo(1);
        time.runFor(REMAINING_MILLIS + ENDED_MILLIS);
        assertThat(cold.isLimited("u/1")).isTrue();
        cold.onHeartbeat(heartbeat(LIMITED, 1, 2, 0));
        time.runFor(ENDED_MILLIS);
        assertThat(cold.isLimited("u/1")).isFalse();
        assertThat(cold.coldUpstreams()).isZero();
        assertThat(changes).containsExactly("u/1 3000", "u/1 0");
    }

    @Test
    void instanceOutOfTouchGoesOnAtAnUpstreamToWhichItHasKeptAConnection() {
        instances = 24;
        cold.setConnectionCheck(heartbeat -> true);
        cold.onHeartbeat(heartbeat(LIMITED, 1, 1, 0));
        time.runFor(1_000);
        isCurrent = false;
        assertThat(sendFor(8_000, "u/1")).isEqualTo(1_600);
    }

    @Test
    void upstreamThatBrokeItsConnectionsIsLimitedUntilTheDirectoryIsCurrent() {
        instances = 24;
        boolean[] connected = {true};
        cold.setConnectionCheck(heartbeat -> connected[0]);
        cold.onHeartbeat(heartbeat(LIMITED, 1, 1, 0));
        time.runFor(1_000);
        isCurrent = false;
        sendFor(1_000, "u/1");
        connected[0] = false;
        time.runFor(300);
        connected[0] = true;
        assertThat(sendFor(8_000, "u/1")).isLessThan(8);
        isCurrent = true;
        assertThat(sendFor(1_000, "u/1")).isEqualTo(200);
    }

    @Test
    void brokenResponseOutOfTouchEndsTheProofOfAnOpenConnection() {
        instances = 24;
        cold.setConnectionCheck(heartbeat -> true);
        cold.onHeartbeat(heartbeat(LIMITED, 1, 1, 0));
        time.runFor(1_000);
        isCurrent = false;
        sendFor(1_000, "u/1");
        cold.onConnectionLost("u/1");
        assertThat(sendFor(8_000, "u/1")).isLessThan(8);
    }

    @Test
    void limitRisesBeforeItEnds() {
        cold.onHeartbeat(heartbeat(LIMITED, 1, 1, REMAINING_MILLIS));
        time.runFor(REMAINING_MILLIS);
        double whileCold = sendFor(5_000, "u/1") / 5.0;
        cold.onHeartbeat(heartbeat(LIMITED, 1, 2, 0));
        double warming = sendFor(1_000, "u/1");
        assertThat(whileCold).isBetween(TOLERATED / 2, TOLERATED);
        assertThat(warming).isBetween(TOLERATED, 3 * TOLERATED);
        time.runFor(ENDED_MILLIS);
        assertThat(sendFor(1_000, "u/1")).isEqualTo(200);
    }

    @Test
    void olderHeartbeatDoesNotEndTheLimit() {
        cold.onHeartbeat(heartbeat(LIMITED, 1, 5, REMAINING_MILLIS));
        cold.onHeartbeat(heartbeat(LIMITED, 1, 4, 0));
        time.runFor(ENDED_MILLIS);
        assertThat(cold.isLimited("u/1")).isTrue();
    }

    @Test
    void laterIncarnationIsLimitedByItsOwnWord() {
        cold.onHeartbeat(heartbeat(LIMITED, 1, 9, 0));
        cold.onHeartbeat(heartbeat(LIMITED, 2, 1, REMAINING_MILLIS));
        assertThat(cold.isLimited("u/2")).isTrue();
        time.runFor(1_000);
        cold.onHeartbeat(heartbeat(LIMITED, 3, 1, 0));
        assertThat(cold.isLimited("u/3")).isFalse();
        assertThat(limiter.limitedUpstreams()).isZero();
    }

    @Test
    void departedUpstreamHasNoLimitLeft() {
        Heartbeat heartbeat = heartbeat(LIMITED, 1, 1, REMAINING_MILLIS);
        cold.onHeartbeat(heartbeat);
        time.runFor(1_000);
        cold.onHeartbeat(heartbeat.departure());
        assertThat(limiter.limitedUpstreams()).isZero();
        assertThat(cold.coldUpstreams()).isZero();
    }

    @Test
    void upstreamOfAServiceWithoutALimitIsNeverLimited() {
        cold.onHeartbeat(heartbeat(OTHER, 1, 1, REMAINING_MILLIS));
        isCurrent = false;
        cold.onConnectionLost("u/1");
        time.runFor(1_000);
        assertThat(cold.isLimited("u/1")).isFalse();
        assertThat(sendFor(1_000, "u/1")).isEqualTo(200);
    }

    @Test
    void instanceThatCannotKnowKeepsToItsPartWithoutAsking() {
        cold.onHeartbeat(heartbeat(LIMITED, 1, 1, 0));
        assertThat(sendFor(1_000, "u/1")).isEqualTo(200);
        instances = 10;
        isCurrent = false;
        assertThat(cold.isLimited("u/1")).isTrue();
        int sent = sendFor(60_000, "u/1");
        assertThat(sent / 60.0).isBetween(TOLERATED / 20, 2 * TOLERATED / 10);
        assertThat(cold.retryMillis("u/1")).isPositive();
        isCurrent = true;
        assertThat(cold.isLimited("u/1")).isFalse();
    }

    @Test
    void upstreamThatMayHaveCrashedIsSpared() {
        cold.onHeartbeat(heartbeat(LIMITED, 1, 1, 0));
        sendFor(1_000, "u/1");
        instances = 10;
        cold.onConnectionLost("u/1");
        assertThat(sendFor(2_000, "u/1")).isLessThanOrEqualTo(4);
        time.runFor(2_000);
        assertThat(sendFor(1_000, "u/1")).isEqualTo(200);
    }

    @Test
    void limitThatTheUpstreamNamesItselfHoldsToo() {
        cold.onHeartbeat(heartbeat(LIMITED, 1, 1, REMAINING_MILLIS));
        limiter.onResponse("u/1", 1, time.nowMillis());
        time.runFor(5_000);
        assertThat(sendFor(10_000, "u/1")).isBetween(5, 20);
        limiter.onResponse("u/1", Double.POSITIVE_INFINITY, time.nowMillis());
        assertThat(cold.isLimited("u/1")).isTrue();
        assertThat(sendFor(10_000, "u/1") / 10.0).isBetween(TOLERATED / 2, TOLERATED);
    }
}
