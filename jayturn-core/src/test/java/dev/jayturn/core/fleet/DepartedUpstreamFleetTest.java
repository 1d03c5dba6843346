package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Upstreams whose departure reaches another control instance than their last heartbeats did, and
 * entry instances that start after it.
 */
final class DepartedUpstreamFleetTest {
    private static final String SERVICE = "s";
    private static final String UPSTREAM = "u1";
    private static final long BORN = 1_700_000_000_000L;
    private static final int SHARED_MILLIS = 1_500;
    private static final int START_MILLIS = 4_000;

    private VirtualFleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = new VirtualFleet(3, 3, 4);
        fleet.time.runFor(START_MILLIS);
    }

    private static Heartbeat heartbeat(long born, long sequence, UpstreamState state) {
        return new Heartbeat(
                UPSTREAM, SERVICE, "10.0.0.1:80", "front-0", 4, state, born, sequence, "v1");
    }

    private void sendHeartbeat(int control, Heartbeat heartbeat) {
        VirtualControl receiver = fleet.controls.get("control-" + control);
        receiver.process.run(() -> receiver.instance.onHeartbeat(heartbeat));
    }

    private void sendHeartbeat(int control, long sequence) {
        sendHeartbeat(control, heartbeat(BORN, sequence, UpstreamState.READY));
    }

    private void sendDeparture(int control, long born) {
        VirtualControl receiver = fleet.controls.get("control-" + control);
        receiver.process.run(() -> receiver.instance.onDeparture(UPSTREAM, born));
    }

    private VirtualEntry restartEntry(String name) {
        fleet.entries.get(name).process.crash();
        VirtualEntry started = fleet.new VirtualEntry(name, "boot-1");
        fleet.entries.put(name, started);
        fleet.time.runFor(START_MILLIS);
        return started;
    }

    private void assertKnownAsReady(int count) {
        restartEntry("entry-1");
        for (VirtualEntry entry : fleet.entries.values()) {
            assertThat(entry.upstreams.ofService(SERVICE)).as(entry.name).hasSize(count);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 60, 200, 1_500})
    void departureWinsOverANewerHeartbeatAtAnotherControlInstance(int millisBetween) {
        sendHeartbeat(0, 1);
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(1);
        sendHeartbeat(1, 6);
        fleet.time.runFor(millisBetween);
        sendDeparture(0, BORN);
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(0);
    }

    @Test
    void lateHeartbeatDoesNotBringADepartedUpstreamBack() {
        sendHeartbeat(0, 1);
        fleet.time.runFor(SHARED_MILLIS);
        sendDeparture(0, BORN);
        fleet.time.runFor(SHARED_MILLIS);
        sendHeartbeat(1, 7);
        sendHeartbeat(0, 8);
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(0);
    }

    @Test
    void departureOfAnUpstreamThatThisControlInstanceHasNotHeardOfIsKept() {
        fleet.network.isolate("control-0");
        sendHeartbeat(1, 1);
        fleet.time.runFor(SHARED_MILLIS);
        sendDeparture(0, BORN);
        fleet.time.runFor(SHARED_MILLIS);
        fleet.network.heal();
        sendHeartbeat(1, 2);
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(0);
    }

    @Test
    void departureOfAnIncarnationThatThisControlInstanceHasNotHeardOfIsKept() {
        sendHeartbeat(0, 1);
        fleet.time.runFor(SHARED_MILLIS);
        fleet.network.isolate("control-0");
        sendHeartbeat(1, heartbeat(BORN + 9_000, 1, UpstreamState.READY));
        fleet.time.runFor(SHARED_MILLIS);
        sendDeparture(0, BORN + 9_000);
        fleet.time.runFor(SHARED_MILLIS);
        fleet.network.heal();
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(0);
    }

    @Test
    void departureReachesControlInstancesThatWereCutOff() {
        sendHeartbeat(1, 1);
        fleet.time.runFor(SHARED_MILLIS);
        fleet.network.isolate("control-0");
        sendDeparture(0, BORN);
        fleet.time.runFor(SHARED_MILLIS);
        fleet.network.heal();
        fleet.time.runFor(SHARED_MILLIS);
        fleet.controls.get("control-0").process.crash();
        assertKnownAsReady(0);
    }

    @Test
    void upstreamThatStartsAgainUnderItsIdIsUsed() {
        sendHeartbeat(0, 1);
        sendHeartbeat(1, 50);
        sendDeparture(0, BORN);
        fleet.time.runFor(SHARED_MILLIS);
        sendHeartbeat(2, heartbeat(BORN + 9_000, 1, UpstreamState.READY));
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(1);
        sendDeparture(0, BORN);
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(1);
    }

    @Test
    void departureWithoutAnIncarnationEndsTheLatestKnownOne() {
        sendHeartbeat(0, 1);
        fleet.time.runFor(SHARED_MILLIS);
        sendHeartbeat(1, 6);
        sendDeparture(0, 0);
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(0);
    }

    @Test
    void drainingUpstreamStaysOutAfterADelayedHeartbeat() {
        sendHeartbeat(0, 1);
        fleet.time.runFor(SHARED_MILLIS);
        sendHeartbeat(1, 6);
        fleet.time.runFor(60);
        sendHeartbeat(0, heartbeat(BORN, 7, UpstreamState.DRAINING));
        fleet.time.runFor(SHARED_MILLIS);
        sendHeartbeat(2, 5);
        assertKnownAsReady(0);
    }

    @Test
    void addressOfADepartedUpstreamIsUsedByItsSuccessor() {
        sendHeartbeat(0, 1);
        fleet.time.runFor(SHARED_MILLIS);
        sendDeparture(1, BORN);
        sendHeartbeat(
                2,
                new Heartbeat(
                        "u2",
                        SERVICE,
                        "10.0.0.1:80",
                        "front-0",
                        4,
                        UpstreamState.READY,
                        BORN + 5_000,
                        1,
                        "v1"));
        fleet.time.runFor(SHARED_MILLIS);
        assertKnownAsReady(1);
        List<VirtualEntry> entries = List.copyOf(fleet.entries.values());
        assertThat(entries.get(0).upstreams.ofService(SERVICE).get(0).heartbeat().id())
                .isEqualTo("u2");
    }
}
