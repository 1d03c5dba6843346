package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import dev.jayturn.core.resumption.OriginCallback;
import dev.jayturn.core.resumption.StreamOrigin;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An entry instance that is cut off or stands still while an upstream comes back under its id with
 * another software version. The upstreams and the callers reach it all the time.
 */
final class OutdatedDirectoryFleetTest {
    private static final String SERVICE = "s";
    private static final StreamOrigin OLD = new StreamOrigin(SERVICE, "v1");
    private static final long STREAM = 7;
    private static final long LIFETIME_MILLIS = 30_000;
    private static final long SEARCH_MILLIS = 400;

    /** Time in which an instance notices that it hears no control instance. */
    private static final long NOTICE_MILLIS = 1_400;

    private VirtualFleet fleet;
    private VirtualEntry entry;

    @BeforeEach
    void startFleet() {
        fleet = new VirtualFleet(5, 3, 6);
        fleet.network.setFaults(0, 0, 3);
        fleet.time.runFor(4_000);
        startUpstream("restarted", "v1", 1);
        startUpstream("other", "v1", 2);
        fleet.time.runFor(2_000);
        entry = fleet.entries.get("entry-0");
    }

    private void startUpstream(String id, String version, long incarnation) {
        Heartbeat heartbeat =
                new Heartbeat(
                        id,
                        SERVICE,
                        "10.0.0." + id.length() + ":80",
                        "data-centre-0",
                        64,
                        UpstreamState.READY,
                        incarnation,
                        1,
                        version);
        VirtualControl control = fleet.controls.get("control-1");
        control.process.run(() -> control.instance.onHeartbeat(heartbeat));
    }

    private void restartUpstream() {
        startUpstream("restarted", "v2", 9);
    }

    /** Returns the id of the upstream that a stream goes on at, or "" if it is refused. */
    private String placeResumption(String triedId) {
        UpstreamLoad chosen = decide(OLD, triedId).upstream();
        return chosen == null ? "" : chosen.heartbeat().id();
    }

    private Dispatcher.Decision decide(StreamOrigin origin, String triedId) {
        long now = fleet.time.nowMillis();
        return entry.dispatcher.decide(
                new Dispatcher.Query(
                        SERVICE, RequestProfile.PLAIN, origin, Set.of(triedId), 10_000, now),
                upstream -> true);
    }

    /** Records a stream that the restarted upstream begins at the entry instance. */
    private void beginStream() {
        for (UpstreamLoad upstream : entry.upstreams.ofService(SERVICE)) {
            Heartbeat sentTo = upstream.heartbeat();
            if (sentTo.id().equals("restarted")) {
                StreamOrigin origin = StreamOrigin.of(sentTo, entry.upstreams.newestOf(sentTo));
                entry.origins.put(STREAM, origin, LIFETIME_MILLIS);
            }
        }
    }

    private StreamOrigin findAt(VirtualEntry instance) {
        StreamOrigin[] found = {StreamOrigin.UNKNOWN};
        instance.origins.find(
                STREAM,
                SEARCH_MILLIS,
                new OriginCallback() {
                    @Override
                    public void onFound(StreamOrigin origin) {
                        found[0] = origin;
                    }

                    @Override
                    public void onNotFound(boolean isCertain) {
                        // Refused like an unknown origin.
                    }
                });
        fleet.time.runFor(SEARCH_MILLIS);
        return found[0];
    }

    private void assertKnownNowhere() {
        for (VirtualEntry instance : fleet.entries.values()) {
            assertThat(findAt(instance).isKnown()).as(instance.name).isFalse();
        }
    }

    @Test
    void instanceThatIsCutOffResumesNoStreamAtAnUpstreamThatChangedItsVersion() {
        assertThat(placeResumption("other")).isEqualTo("restarted");
        fleet.network.isolate("entry-0");
        fleet.time.runFor(NOTICE_MILLIS);
        restartUpstream();
        for (int i = 0; i < 30; i++) {
            fleet.time.runFor(100);
            assertThat(placeResumption("other")).isEmpty();
        }
        fleet.network.heal();
        for (int i = 0; i < 30; i++) {
            fleet.time.runFor(100);
            assertThat(placeResumption("other")).isEmpty();
        }
        assertThat(placeResumption("restarted")).isEqualTo("other");
    }

    @ParameterizedTest
    @ValueSource(ints = {1_200, 2_500, 8_000})
    void instanceThatStoodStillResumesNoStreamAtAnUpstreamThatChangedItsVersion(int millis) {
        entry.process.pause(millis);
        String[] first = new String[1];
        entry.process.run(() -> first[0] = placeResumption("other"));
        fleet.time.runFor(millis / 2);
        restartUpstream();
        fleet.time.runFor(millis - millis / 2);
        assertThat(first[0]).isEmpty();
        for (int i = 0; i < 300; i++) {
            fleet.time.runFor(10);
            assertThat(placeResumption("other")).isEmpty();
        }
        assertThat(placeResumption("restarted")).isEqualTo("other");
    }

    @Test
    void newRequestsAreServedByAnInstanceThatIsCutOff() {
        fleet.network.isolate("entry-0");
        fleet.time.runFor(10_000);
        long now = fleet.time.nowMillis();
        assertThat(
                        entry.dispatcher
                                .decide(
                                        new Dispatcher.Query(
                                                SERVICE,
                                                RequestProfile.PLAIN,
                                                null,
                                                Set.of(),
                                                10_000,
                                                now),
                                        upstream -> true)
                                .upstream())
                .isNotNull();
    }

    @ParameterizedTest
    @ValueSource(ints = {50, 600, 2_000})
    void streamThatAnInstanceBeganWhileItWasCutOffIsUnknownAfterAVersionChange(int millis) {
        fleet.network.isolate("entry-0");
        restartUpstream();
        fleet.time.runFor(millis);
        beginStream();
        fleet.time.runFor(3_000);
        fleet.network.heal();
        fleet.time.runFor(3_000);
        assertKnownNowhere();
    }

    @Test
    void streamThatAnInstanceBeganAfterItStoodStillIsUnknownAfterAVersionChange() {
        entry.process.pause(3_000);
        entry.process.run(this::beginStream);
        fleet.time.runFor(1_500);
        restartUpstream();
        fleet.time.runFor(1_500 + 50);
        assertThat(findAt(fleet.entries.get("entry-3")).isKnown()).isFalse();
        fleet.time.runFor(2_000);
        assertKnownNowhere();
    }

    @Test
    void streamThatAnInstanceBeganWhileItWasCutOffGoesOnIfNoVersionChanged() {
        fleet.network.isolate("entry-0");
        fleet.time.runFor(2_000);
        beginStream();
        fleet.time.runFor(1_000);
        fleet.network.heal();
        fleet.time.runFor(3_000);
        for (VirtualEntry instance : fleet.entries.values()) {
            assertThat(findAt(instance)).as(instance.name).isEqualTo(OLD);
        }
        assertThat(placeResumption("")).isNotEmpty();
    }

    @Test
    void streamsGoOnWhileAnotherControlInstanceIsElected() {
        String leader =
                fleet.controls.values().stream()
                        .filter(control -> control.raft.isLeader())
                        .findFirst()
                        .orElseThrow()
                        .name;
        fleet.controls.get(leader).process.crash();
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            fleet.time.runFor(100);
            refused += placeResumption("").isEmpty() ? 1 : 0;
        }
        assertThat(refused).isLessThanOrEqualTo(15);
        assertThat(placeResumption("")).isNotEmpty();
    }
}
