package dev.jayturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.ratelimit.RateLimits;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.StreamOrigin;
import dev.jayturn.core.virtual.SeededRandom;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class DispatcherTest {
    private static final String SERVICE = "press";

    private final RandomSource random = new SeededRandom(new Random(1));
    private final UpstreamRegistry upstreams = new UpstreamRegistry(service -> 1_000);
    private final Dispatcher dispatcher =
            new Dispatcher(
                    upstreams,
                    new ExpectedTimePlacement(new Location("a", Map.of("a", "north")), random),
                    random);

    private UpstreamLoad add(String id, int port) {
        return add(id, port, "v1");
    }

    private UpstreamLoad add(String id, int port, String version) {
        upstreams.accept(
                new Heartbeat(
                        id,
                        SERVICE,
                        "10.0.0.1:" + port,
                        "a",
                        4,
                        UpstreamState.READY,
                        1,
                        1,
                        version));
        return upstreams.ofService(SERVICE).stream()
                .filter(upstream -> upstream.heartbeat().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private Dispatcher.Decision decideAt(long nowMillis) {
        return decide(null, Set.of(), nowMillis);
    }

    private Dispatcher.Decision decide(
            @Nullable StreamOrigin origin, Set<String> triedIds, long nowMillis) {
        return dispatcher.decide(
                new Dispatcher.Query(
                        SERVICE, RequestProfile.PLAIN, origin, triedIds, 1_000, nowMillis),
                upstream -> true);
    }

    @Test
    void streamGoesOnOnlyAtTheVersionThatBeganIt() {
        UpstreamLoad old = add("u1", 1);
        add("u2", 2, "v2");
        StreamOrigin origin = new StreamOrigin(SERVICE, "v1");
        for (int i = 0; i < 20; i++) {
            assertThat(decide(origin, Set.of(), 0).upstream()).isEqualTo(old);
            old.requestStarted(RequestProfile.PLAIN);
        }
    }

    @Test
    void streamIsRefusedOnceNoUpstreamOfItsVersionIsLeft() {
        add("u2", 2, "v2");
        StreamOrigin origin = new StreamOrigin(SERVICE, "v1");
        assertThat(decide(origin, Set.of(), 0).code()).isEqualTo(ResultCode.STREAM_VERSION_GONE);
        assertThat(decide(StreamOrigin.UNKNOWN, Set.of(), 0).code())
                .isEqualTo(ResultCode.STREAM_VERSION_GONE);
    }

    @Test
    void instanceThatKnowsNoUpstreamsYetDoesNotSayThatTheVersionIsGone() {
        assertThat(decide(new StreamOrigin(SERVICE, "v1"), Set.of(), 0).code())
                .isEqualTo(ResultCode.NO_UPSTREAM);
    }

    @Test
    void streamIsRefusedForNowIfTheOnlyUpstreamOfItsVersionWasTried() {
        add("u1", 1);
        add("u2", 2, "v2");
        StreamOrigin origin = new StreamOrigin(SERVICE, "v1");
        assertThat(decide(origin, Set.of("u1"), 0).code()).isEqualTo(ResultCode.NO_UPSTREAM);
    }

    @Test
    void requestThatLacksOnlyAConnectionIsNotToldThatThereIsNoUpstream() {
        add("u1", 1);
        Dispatcher.Query query =
                new Dispatcher.Query(SERVICE, RequestProfile.PLAIN, null, Set.of(), 1_000, 0);
        Dispatcher.Decision decision = dispatcher.decide(query, upstream -> false);
        assertThat(decision.code()).isEqualTo(ResultCode.CONNECTIONS_USED);
        assertThat(decision.retryAfterMillis()).isPositive();
    }

    private static UpstreamFilter onlyPort(int port, ResultCode refusal) {
        return new UpstreamFilter() {
            @Override
            public boolean admits(Dispatcher.Query query, UpstreamLoad upstream) {
                return upstream.heartbeat().address().endsWith(":" + port);
            }

            @Override
            public ResultCode refusal() {
                return refusal;
            }
        };
    }

    @Test
    void requestGoesOnlyToUpstreamsThatMeetAllConditions() {
        add("u1", 1);
        UpstreamLoad admitted = add("u2", 2);
        dispatcher.addFilter(onlyPort(2, ResultCode.DRAINING));
        for (int i = 0; i < 20; i++) {
            assertThat(decideAt(i).upstream()).isSameAs(admitted);
        }
    }

    @Test
    void requestIsRefusedForTheConditionThatNoUpstreamMeets() {
        add("u1", 1);
        dispatcher.addFilter(onlyPort(1, ResultCode.DRAINING));
        dispatcher.addFilter(onlyPort(2, ResultCode.NOT_READY));
        assertThat(decideAt(0).code()).isEqualTo(ResultCode.NOT_READY);
    }

    @Test
    void pausedUpstreamGetsNoRequestUntilItsPauseEnds() {
        UpstreamLoad paused = add("u1", 1);
        UpstreamLoad other = add("u2", 2);
        paused.pauseUntil(5_000);
        for (long nowMillis = 0; nowMillis < 5_000; nowMillis += 100) {
            assertThat(decideAt(nowMillis).upstream()).isSameAs(other);
        }
        other.pauseUntil(9_000);
        assertThat(decideAt(5_000).upstream()).isSameAs(paused);
    }

    @Test
    void requestIsRefusedUntilTheFirstPauseEndsIfAllUpstreamsArePaused() {
        add("u1", 1).pauseUntil(8_000);
        add("u2", 2).pauseUntil(3_000);
        Dispatcher.Decision decision = decideAt(1_000);
        assertThat(decision.upstream()).isNull();
        assertThat(decision.code()).isEqualTo(ResultCode.UPSTREAMS_PAUSED);
        assertThat(decision.retryAfterMillis()).isBetween(2_000L, 2_400L);
    }

    @Test
    void shorterPauseDoesNotEndALongerOne() {
        UpstreamLoad paused = add("u1", 1);
        paused.pauseUntil(5_000);
        paused.pauseUntil(2_000);
        assertThat(decideAt(3_000).code()).isEqualTo(ResultCode.UPSTREAMS_PAUSED);
    }

    private void limit(String usedUp, long retryMillis) {
        dispatcher.setRateLimits(
                new RateLimits() {
                    @Override
                    public boolean admits(String upstream) {
                        return !upstream.startsWith(usedUp);
                    }

                    @Override
                    public long retryMillis(String upstream) {
                        return retryMillis;
                    }
                });
    }

    @Test
    void requestsGoToOtherUpstreamsWhileOneIsAtItsRateLimit() {
        add("u1", 1);
        UpstreamLoad other = add("u2", 2);
        limit("u1/", 300);
        for (int i = 0; i < 50; i++) {
            assertThat(decideAt(i).upstream()).isSameAs(other);
        }
    }

    @Test
    void requestIsRefusedWithASpreadRetryTimeIfAllUpstreamsAreAtTheirRateLimits() {
        add("u1", 1);
        add("u2", 2);
        limit("u", 900);
        Dispatcher.Decision decision = decideAt(0);
        assertThat(decision.code()).isEqualTo(ResultCode.UPSTREAMS_LIMITED);
        assertThat(decision.retryAfterMillis()).isBetween(900L, 1_800L);
    }
}
