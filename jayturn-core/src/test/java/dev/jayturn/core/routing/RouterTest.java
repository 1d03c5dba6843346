package dev.jayturn.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.membership.Announce;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.retry.CircuitBreakers;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RouterTest {
    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("e", time, new VirtualNetwork(time, new Random(1)));
    private final MembersView view = new MembersView(process, 5_000);
    private final CircuitBreakers breakers = new CircuitBreakers(process);
    private final Router router = new Router(view, breakers, new SeededRandom(new Random(1)));

    private void announce(String id, long sequence, boolean leaving, int running) {
        Upstream upstream =
                new Upstream(
                        id, "llm", id, "p", 1, sequence, List.of("m"), 10, true, true, leaving);
        view.applyAnnouncement(new Announce(upstream, running, 0));
    }

    private static RouteQuery query(long prefix, String... excluded) {
        return new RouteQuery("r", "llm", "m", "affinity", prefix, Set.of(excluded));
    }

    private String choose(long prefix, String... excluded) {
        return router.route(query(prefix, excluded)).get().upstream().id();
    }

    @Test
    void callsWithSamePrefixShareAnUpstreamAndPrefixesSpread() {
        for (int i = 0; i < 5; i++) {
            announce("u" + i, 1, false, 0);
        }
        Set<String> used = new HashSet<>();
        for (long prefix = 0; prefix < 50; prefix++) {
            assertThat(choose(prefix)).isEqualTo(choose(prefix));
            used.add(choose(prefix));
        }
        assertThat(used).hasSize(5);
    }

    @Test
    void upstreamThatReportsNoLoadDoesNotAttractAllCalls() {
        announce("honest", 1, false, 9);
        announce("liar", 1, false, 0);
        int lies = 0;
        for (int i = 0; i < 100; i++) {
            String chosen = choose(i);
            router.requestStarted(chosen);
            lies += chosen.equals("liar") ? 1 : 0;
        }
        assertThat(lies).isBetween(30, 70);
    }

    @Test
    void leavingExcludedAndTrippedUpstreamsGetNoCalls() {
        announce("a", 1, false, 0);
        announce("b", 1, false, 0);
        announce("c", 1, false, 0);
        announce("a", 2, true, 0);
        for (int i = 0; i < 3; i++) {
            breakers.recordFailure("b");
        }
        assertThat(choose(1)).isEqualTo("c");
        assertThat(router.route(query(1, "c")).getLeft()).isEqualTo(ResultCode.NO_UPSTREAM);
        time.runFor(1_001);
        assertThat(choose(1, "c")).isEqualTo("b");
    }
}
