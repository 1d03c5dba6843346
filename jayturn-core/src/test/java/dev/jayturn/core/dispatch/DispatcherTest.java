package dev.jayturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.ratelimit.RateLimits;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.virtual.SeededRandom;
import java.util.Map;
import java.util.Random;
import java.util.Set;
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
        upstreams.accept(
                new Heartbeat(
                        id, SERVICE, "10.0.0.1:" + port, "a", 4, UpstreamState.READY, 1, 1, "v1"));
        return upstreams.ofService(SERVICE).stream()
                .filter(upstream -> upstream.heartbeat().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private Dispatcher.Decision decideAt(long nowMillis) {
        return dispatcher.decide(
                new Dispatcher.Query(SERVICE, RequestProfile.PLAIN, Set.of(), 1_000, nowMillis),
                upstream -> true);
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
