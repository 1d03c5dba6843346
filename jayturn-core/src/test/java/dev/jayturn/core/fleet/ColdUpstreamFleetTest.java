package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Upstreams that are cold tolerate a limited rate of requests of all instances together. */
final class ColdUpstreamFleetTest {
    private static final String SERVICE = "press";
    private static final double TOLERATED = 7.9;
    private static final double EXCESS_FACTOR = 1.5;
    private static final int EXCESS_REQUESTS = 5;
    private static final long SECOND = 1_000;
    private static final int UPSTREAMS = 8;
    private static final int REQUESTS_PER_SECOND = 160;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long COLD_MILLIS = 5_000;
    private static final int STEP_MILLIS = 5;
    private static final int RESPONSE_MILLIS = 300;

    /** Time after which a heartbeat is known to all instances in touch. */
    private static final long TOLD_MILLIS = 1_000;

    private VirtualFleet fleet;
    private Random random;
    private final List<Upstream> upstreams = new ArrayList<>();

    /** An upstream that counts the requests which arrive while it is cold. */
    private final class Upstream {
        final String id;
        final int port;
        long incarnation;
        long sequence;
        long coldUntilMillis;
        boolean running = true;
        final List<Long> coldArrivals = new ArrayList<>();
        final List<Long> arrivals = new ArrayList<>();

        Upstream(int number) {
            id = "u" + number;
            port = 1_000 + number;
        }

        void start(long coldMillis) {
            running = true;
            sequence = 0;
            incarnation = 1_000 + fleet.time.nowMillis();
            coldUntilMillis = fleet.time.nowMillis() + coldMillis;
            sendHeartbeat();
        }

        long coldMillis() {
            return Math.max(0, coldUntilMillis - fleet.time.nowMillis());
        }

        /** Calls one control instance after the other until one takes the call. */
        void sendHeartbeat() {
            sequence++;
            Heartbeat heartbeat =
                    new Heartbeat(
                            id,
                            SERVICE,
                            "10.0.0.1:" + port,
                            "data-centre-0",
                            12,
                            UpstreamState.READY,
                            incarnation,
                            sequence,
                            "v1",
                            coldMillis());
            List<VirtualControl> all = new ArrayList<>(fleet.controls.values());
            VirtualControl control = all.get(random.nextInt(all.size()));
            control.process.run(() -> control.instance.onHeartbeat(heartbeat));
        }

        void arrive() {
            arrivals.add(fleet.time.nowMillis());
            if (coldMillis() > 0) {
                coldArrivals.add(fleet.time.nowMillis());
            }
        }
    }

    private void start(long seed, int entries) {
        random = new Random(seed);
        fleet = new VirtualFleet(seed, 3, entries);
        fleet.coldRequestsPerSecond = TOLERATED;
        fleet.network.setFaults(0.05, 0.01, 5);
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new Upstream(i));
        }
        fleet.time.runFor(4_000);
        upstreams.forEach(upstream -> upstream.start(0));
        runFor(4_000);
    }

    private void send(VirtualEntry entry, Set<String> triedIds) {
        Dispatcher.Query query =
                new Dispatcher.Query(
                        SERVICE, RequestProfile.PLAIN, null, triedIds, 9_000, nowMillis(entry));
        UpstreamLoad chosen = entry.dispatcher.decide(query, upstream -> true).upstream();
        if (chosen == null) {
            return;
        }
        String incarnationId = chosen.heartbeat().incarnationId();
        boolean permitted = entry.permits.acquire(incarnationId);
        chosen.requestStarted(RequestProfile.PLAIN);
        entry.process.schedule(
                1 + random.nextInt(10), () -> connect(entry, chosen, permitted, triedIds));
    }

    private static long nowMillis(VirtualEntry entry) {
        return entry.process.nowMillis();
    }

    /** Sends the request once there is a connection, like the daemon. */
    private void connect(
            VirtualEntry entry, UpstreamLoad chosen, boolean permitted, Set<String> triedIds) {
        String incarnationId = chosen.heartbeat().incarnationId();
        boolean mayBeSent =
                entry.upstreams.isReady(chosen)
                        && (permitted
                                || entry.permits.acquire(incarnationId)
                                || !entry.permits.isLimited(incarnationId));
        Upstream target =
                upstreams.stream()
                        .filter(upstream -> upstream.id.equals(chosen.heartbeat().id()))
                        .findFirst()
                        .orElseThrow();
        if (!mayBeSent || !target.running) {
            chosen.requestEnded();
            if (mayBeSent) {
                chosen.connectionFailed(nowMillis(entry));
                entry.permits.onConnectionLost(incarnationId);
            }
            Set<String> tried = new HashSet<>(triedIds);
            if (tried.add(target.id)) {
                send(entry, tried);
            }
            return;
        }
        target.arrive();
        entry.process.schedule(
                RESPONSE_MILLIS,
                () -> {
                    chosen.requestEnded();
                    chosen.requestSucceeded(RESPONSE_MILLIS);
                });
    }

    private void runFor(long millis) {
        long end = fleet.time.nowMillis() + millis;
        while (fleet.time.nowMillis() < end) {
            for (Upstream upstream : upstreams) {
                boolean isDue =
                        (fleet.time.nowMillis() + upstream.port * 7L) % HEARTBEAT_MILLIS
                                < STEP_MILLIS;
                if (upstream.running && upstream.incarnation > 0 && isDue) {
                    upstream.sendHeartbeat();
                }
            }
            if (random.nextDouble() < REQUESTS_PER_SECOND * STEP_MILLIS / (double) SECOND) {
                List<VirtualEntry> entries = new ArrayList<>(fleet.entries.values());
                VirtualEntry entry = entries.get(random.nextInt(entries.size()));
                entry.process.run(() -> send(entry, Set.of()));
            }
            fleet.time.runFor(STEP_MILLIS);
        }
    }

    private static long mostInASecond(List<Long> arrivals, long fromMillis) {
        return arrivals.stream()
                .filter(start -> start >= fromMillis)
                .mapToLong(
                        start ->
                                arrivals.stream()
                                        .filter(a -> a >= start && a < start + SECOND)
                                        .count())
                .max()
                .orElse(0);
    }

    private void assertNoneOverloaded(long fromMillis) {
        long allowed = (long) (EXCESS_FACTOR * TOLERATED + EXCESS_REQUESTS);
        assertThat(upstreams)
                .allSatisfy(
                        upstream ->
                                assertThat(mostInASecond(upstream.coldArrivals, fromMillis))
                                        .as("most requests in a second at %s", upstream.id)
                                        .isLessThanOrEqualTo(allowed));
    }

    private static double perSecond(List<Long> arrivals, long fromMillis, long toMillis) {
        long count = arrivals.stream().filter(a -> a >= fromMillis && a < toMillis).count();
        return count * SECOND / (double) (toMillis - fromMillis);
    }

    /**
     * Checks that the cold upstreams together get a good part of what they tolerate, and each some.
     */
    private void assertUsedWhileCold(List<Upstream> cold, long startMillis) {
        long from = startMillis + TOLD_MILLIS;
        long to = startMillis + COLD_MILLIS;
        double sum = 0;
        for (Upstream upstream : cold) {
            double used = perSecond(upstream.coldArrivals, from, to);
            assertThat(used).as("requests a second at %s", upstream.id).isPositive();
            sum += used;
        }
        assertThat(sum / cold.size())
                .as("requests a second at a cold upstream")
                .isGreaterThanOrEqualTo(TOLERATED / 4);
    }

    private void assertShareAfterwards(List<Upstream> cold, long fromMillis) {
        double equalShare = REQUESTS_PER_SECOND / (double) UPSTREAMS;
        assertThat(cold)
                .allSatisfy(
                        upstream ->
                                assertThat(
                                                perSecond(
                                                        upstream.arrivals,
                                                        fromMillis,
                                                        fleet.time.nowMillis()))
                                        .as("requests a second at %s", upstream.id)
                                        .isGreaterThanOrEqualTo(equalShare / 2));
    }

    @ParameterizedTest
    @CsvSource({"1, 6", "2, 30", "3, 100", "4, 6", "5, 30", "6, 100"})
    void upstreamsThatComeBackColdAtOnceAreUsedAndNotOverloaded(long seed, int entries) {
        start(seed, entries);
        List<Upstream> half = upstreams.subList(0, UPSTREAMS / 2);
        half.forEach(upstream -> upstream.running = false);
        runFor(2_000);
        long back = fleet.time.nowMillis();
        half.forEach(upstream -> upstream.start(COLD_MILLIS));
        runFor(COLD_MILLIS + 5_000);
        long warm = fleet.time.nowMillis();
        runFor(5_000);
        assertNoneOverloaded(0);
        assertUsedWhileCold(half, back);
        assertShareAfterwards(half, warm);
    }

    @ParameterizedTest
    @CsvSource({"1, 6", "2, 30", "3, 100"})
    void newUpstreamsThatRegisterColdAreUsedAndNotOverloaded(long seed, int entries) {
        start(seed, entries);
        List<Upstream> added = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            added.add(new Upstream(UPSTREAMS + i));
        }
        upstreams.addAll(added);
        long since = fleet.time.nowMillis();
        added.forEach(upstream -> upstream.start(COLD_MILLIS));
        runFor(COLD_MILLIS + 2_000);
        assertNoneOverloaded(0);
        assertUsedWhileCold(added, since);
    }

    @ParameterizedTest
    @CsvSource({"1, 6", "2, 30", "3, 100"})
    void upstreamsThatTurnColdAreNotOverloadedOnceTheyHaveSaidSo(long seed, int entries) {
        start(seed, entries);
        List<Upstream> half = upstreams.subList(0, UPSTREAMS / 2);
        for (Upstream upstream : half) {
            upstream.coldUntilMillis = fleet.time.nowMillis() + COLD_MILLIS;
            upstream.sendHeartbeat();
        }
        long told = fleet.time.nowMillis() + TOLD_MILLIS;
        runFor(COLD_MILLIS + 5_000);
        long warm = fleet.time.nowMillis();
        runFor(5_000);
        assertNoneOverloaded(told);
        assertShareAfterwards(half, warm);
    }

    @ParameterizedTest
    @CsvSource({"1, 6", "2, 30", "3, 100", "4, 6", "5, 30", "6, 100"})
    void coldUpstreamsAreNotOverloadedWhileInstancesRestartPauseAndAreCutOff(
            long seed, int entries) {
        start(seed, entries);
        for (int round = 0; round < 12; round++) {
            Upstream upstream = upstreams.get(random.nextInt(UPSTREAMS));
            upstream.running = false;
            runFor(500);
            disturb(round);
            runFor(1_000);
            upstream.start(COLD_MILLIS);
            runFor(2_500);
            fleet.network.heal();
            runFor(COLD_MILLIS);
        }
        assertNoneOverloaded(0);
    }

    private void disturb(int round) {
        List<VirtualEntry> entries = new ArrayList<>(fleet.entries.values());
        VirtualEntry entry = entries.get(random.nextInt(entries.size()));
        switch (round % 6) {
            case 0:
                entry.process.crash();
                fleet.entries.put(entry.name, fleet.new VirtualEntry(entry.name, "boot-" + round));
                break;
            case 1:
                entry.process.pause(1_000 + random.nextInt(2_000));
                break;
            case 2:
                fleet.controls.values().forEach(VirtualControl::restart);
                break;
            case 3:
                fleet.network.isolate("core");
                break;
            case 4:
                fleet.network.isolate("data-centre-1");
                break;
            default:
                fleet.network.isolate(entry.name);
                break;
        }
    }
}
