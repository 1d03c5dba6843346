package dev.jayturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.virtual.SeededRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ExpectedTimePlacementTest {
    private static final Location LOCATION = new Location("a", Map.of("a", "near", "b", "far"));

    private final List<UpstreamLoad> upstreams = new ArrayList<>();
    private final ExpectedTimePlacement placement =
            new ExpectedTimePlacement(LOCATION, new SeededRandom(new Random(1)));

    @BeforeEach
    void createUpstreams() {
        for (int i = 0; i < 4; i++) {
            upstreams.add(upstream("u" + i, "a"));
        }
    }

    private static UpstreamLoad upstream(String id, String dataCentre) {
        Heartbeat heartbeat =
                new Heartbeat(id, "s", id + ":1", dataCentre, 64, UpstreamState.READY, 1, 1, "v1");
        return new UpstreamLoad(heartbeat, 1_000_000);
    }

    private static RequestProfile profile(String prefix, int number) {
        return new RequestProfile(
                12_000,
                300,
                List.of(new PromptPart(prefix, 6_000), new PromptPart("own-" + number, 6_000)));
    }

    private UpstreamLoad choose(RequestProfile profile) {
        PlacementPolicy.Choice choice = placement.choose(profile, upstreams, 0);
        assertThat(choice).isNotNull();
        return choice.upstream();
    }

    @Test
    void requestsWithTheSamePrefixGoToOneUpstream() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 20; i++) {
            UpstreamLoad chosen = choose(profile("p", i));
            long uncachedTokens = chosen.requestStarted(profile("p", i));
            chosen.firstEventReceived(uncachedTokens, 150, true);
            chosen.requestEnded();
            counts.merge(chosen.heartbeat().id(), 1, Integer::sum);
        }
        assertThat(counts).hasSize(1);
    }

    @Test
    void hotPrefixSpreadsOverAllUpstreams() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            UpstreamLoad chosen = choose(profile("p", i));
            chosen.requestStarted(profile("p", i));
            counts.merge(chosen.heartbeat().id(), 1, Integer::sum);
        }
        assertThat(counts).hasSize(4);
        assertThat(counts.values()).allMatch(count -> count <= 20);
    }

    @Test
    void loadFromOtherInstancesIsCounted() {
        UpstreamLoad first = choose(profile("p", 0));
        first.setPeerLoad(10, 200_000);
        assertThat(choose(profile("p", 1))).isNotSameAs(first);
    }

    @Test
    void failingUpstreamIsAvoided() {
        UpstreamLoad first = choose(profile("p", 0));
        for (int i = 0; i < 10; i++) {
            first.requestFailed();
        }
        assertThat(choose(profile("p", 1))).isNotSameAs(first);
    }

    @Test
    void unreachableUpstreamIsSuspendedForAWhile() {
        UpstreamLoad first = choose(profile("p", 0));
        first.connectionFailed(0);
        assertThat(first.isSuspended(100)).isTrue();
        assertThat(choose(profile("p", 1))).isNotSameAs(first);
        assertThat(first.isSuspended(600)).isFalse();
    }

    @Test
    void suspensionsAreIgnoredWhenMostUpstreamsAreUnreachable() {
        for (int i = 0; i < 3; i++) {
            upstreams.get(i).connectionFailed(0);
        }
        for (int i = 0; i < 1_200; i++) {
            choose(RequestProfile.PLAIN).requestStarted(RequestProfile.PLAIN);
        }
        assertThat(upstreams).allMatch(upstream -> upstream.inFlight() > 100);
    }

    @Test
    void plainRequestsStayInTheRegionWhileItHasCapacity() {
        upstreams.add(upstream("far", "b"));
        for (int i = 0; i < 8; i++) {
            UpstreamLoad chosen = choose(RequestProfile.PLAIN);
            assertThat(chosen.heartbeat().dataCentre()).isEqualTo("a");
            chosen.requestStarted(RequestProfile.PLAIN);
        }
    }
}
