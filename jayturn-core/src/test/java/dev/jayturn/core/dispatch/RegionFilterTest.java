package dev.jayturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.configuration.RegionSet;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.StreamOrigin;
import dev.jayturn.core.virtual.SeededRandom;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class RegionFilterTest {
    private static final String SERVICE = "press";
    private static final RegionSet NORTH = RegionSet.of(List.of("north"));
    private static final Location LOCATION =
            new Location("n1", Map.of("n1", "north", "n2", "north", "s1", "south"));

    private final RandomSource random = new SeededRandom(new Random(1));
    private final UpstreamRegistry upstreams = new UpstreamRegistry(service -> 1_000);
    private final Dispatcher dispatcher =
            new Dispatcher(upstreams, new ExpectedTimePlacement(LOCATION, random), random);

    RegionFilterTest() {
        dispatcher.addFilter(new RegionFilter(LOCATION));
    }

    private UpstreamLoad add(String id, String dataCentre) {
        upstreams.accept(
                new Heartbeat(
                        id,
                        SERVICE,
                        "10.0.0.1:" + id.substring(1),
                        dataCentre,
                        4,
                        UpstreamState.READY,
                        1,
                        1,
                        "v1"));
        return upstreams.ofService(SERVICE).stream()
                .filter(upstream -> upstream.heartbeat().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private static Dispatcher.Query query(
            RegionSet regions, Set<String> triedIds, @Nullable StreamOrigin origin) {
        return new Dispatcher.Query(
                SERVICE, RequestProfile.PLAIN, origin, triedIds, 10_000, 0, regions);
    }

    private Dispatcher.Decision decide(RegionSet regions, String... triedIds) {
        return dispatcher.decide(query(regions, Set.of(triedIds), null), upstream -> true);
    }

    @Test
    void boundRequestStaysInItsRegionsEvenIfTheUpstreamsThereAreBusy() {
        UpstreamLoad home = add("u1", "n2");
        add("u2", "s1");
        for (int i = 0; i < 100; i++) {
            assertThat(decide(NORTH).upstream()).isSameAs(home);
            home.requestStarted(RequestProfile.PLAIN);
        }
    }

    @Test
    void retryDoesNotLeaveTheRegions() {
        add("u1", "n1");
        add("u2", "s1");
        assertThat(decide(NORTH, "u1").upstream()).isNull();
        assertThat(decide(RegionSet.ALL, "u1").upstream()).isNotNull();
    }

    @Test
    void boundRequestIsRefusedAsNotRunIfNoUpstreamOfItsRegionsIsKnown() {
        add("u2", "s1");
        Dispatcher.Decision decision = decide(NORTH);
        assertThat(decision.code()).isEqualTo(ResultCode.REGION_UNAVAILABLE);
        assertThat(decision.code().httpStatus()).isEqualTo(503);
        assertThat(decision.retryAfterMillis()).isPositive();
    }

    @Test
    void requestWhoseRouteAndCustomerHaveNoCommonRegionIsRefused() {
        add("u1", "n1");
        add("u2", "s1");
        RegionSet none = NORTH.intersect(RegionSet.of(List.of("south")));
        assertThat(decide(none).code()).isEqualTo(ResultCode.REGION_UNAVAILABLE);
    }

    @Test
    void upstreamInAnUnknownDataCentreGetsOnlyRequestsThatNothingBinds() {
        UpstreamLoad unknown = add("u1", "north");
        assertThat(decide(NORTH).code()).isEqualTo(ResultCode.REGION_UNAVAILABLE);
        assertThat(decide(RegionSet.ALL).upstream()).isSameAs(unknown);
    }

    @Test
    void streamIsNotContinuedInAnotherRegion() {
        add("u1", "s1");
        StreamOrigin origin = new StreamOrigin(SERVICE, "v1");
        assertThat(dispatcher.decide(query(NORTH, Set.of(), origin), upstream -> true).upstream())
                .isNull();
    }

    @Test
    void upstreamThatWasChosenIsCheckedAgainBeforeTheRequestIsSent() {
        UpstreamLoad home = add("u1", "n1");
        assertThat(dispatcher.admits(query(NORTH, Set.of(), null), home)).isTrue();
        RegionSet changed = RegionSet.of(List.of("south"));
        assertThat(dispatcher.admits(query(changed, Set.of(), null), home)).isFalse();
    }
}
