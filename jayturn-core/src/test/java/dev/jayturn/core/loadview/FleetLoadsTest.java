package dev.jayturn.core.loadview;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class FleetLoadsTest {
    private static final int COUNT = 20;
    private static final RequestProfile PROFILE = new RequestProfile(6_400, 300, List.of());

    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network = new VirtualNetwork(time, new Random(1));
    private final List<Instance> instances = new ArrayList<>();
    private final List<String> names = new ArrayList<>();

    private final class Instance {
        final VirtualProcess process;
        final UpstreamRegistry registry = new UpstreamRegistry(service -> 0);
        final FleetLoads loads;
        final List<Message> received = new ArrayList<>();

        Instance(String name) {
            process = new VirtualProcess(name, time, network);
            registry.accept(heartbeat(1, 1));
            registry.accept(heartbeat(2, 1));
            loads = new FleetLoads(name, registry, process, process, COUNT);
            process.onMessage(
                    (to, message) -> {
                        received.add(message);
                        loads.handle(message);
                    });
        }

        UpstreamLoad upstream(int number) {
            return registry.all().stream()
                    .filter(upstream -> upstream.heartbeat().id().equals("u" + number))
                    .findFirst()
                    .orElseThrow();
        }

        void start(int upstream, int requests) {
            for (int i = 0; i < requests; i++) {
                upstream(upstream).requestStarted(PROFILE);
            }
        }
    }

    private static Heartbeat heartbeat(int number, long incarnation) {
        return new Heartbeat(
                "u" + number,
                "s",
                "10.0.0." + number + ":80",
                "a",
                64,
                UpstreamState.READY,
                incarnation,
                1,
                "v1");
    }

    @BeforeEach
    void start() {
        network.setFaults(0, 0, 0);
        for (int i = 0; i < COUNT; i++) {
            names.add("e" + i);
            instances.add(new Instance("e" + i));
        }
        instances.forEach(instance -> instance.loads.setPeers(names));
        time.schedule(0, this::keepInterest);
    }

    private void keepInterest() {
        instances.forEach(instance -> instance.loads.onWorkChanged());
        time.schedule(1_000, this::keepInterest);
    }

    @Test
    void eachInstanceKnowsTheWorkOfAll() {
        instances.get(3).start(1, 2);
        instances.get(4).start(1, 1);
        time.runFor(1_000);
        for (Instance instance : instances) {
            assertThat(instance.upstream(1).totalInFlight()).isEqualTo(3);
            assertThat(instance.upstream(1).totalWaitingTokens()).isEqualTo(3 * 6_400);
            assertThat(instance.upstream(2).totalInFlight()).isZero();
            assertThat(instance.loads.status().unknown()).isZero();
        }
    }

    @Test
    void ownWorkCountsAsItIsNow() {
        Instance instance = instances.get(0);
        instance.start(1, 2);
        time.runFor(1_000);
        instance.start(1, 1);
        assertThat(instance.upstream(1).totalInFlight()).isEqualTo(3);
        instance.upstream(1).requestEnded();
        instance.upstream(1).requestEnded();
        assertThat(instance.upstream(1).totalInFlight()).isEqualTo(1);
    }

    @Test
    void workOfAnEndedInstanceIsSoonForgotten() {
        instances.get(3).start(1, 5);
        time.runFor(1_000);
        instances.get(3).process.crash();
        time.runFor(1_000);
        assertThat(instances.get(0).upstream(1).totalInFlight()).isZero();
        assertThat(instances.get(0).loads.status().unknown()).isZero();
    }

    @Test
    void doubledAndReorderedMessagesChangeNothing() {
        network.setFaults(0, 1, 20);
        instances.get(3).start(1, 2);
        time.runFor(2_000);
        for (Instance instance : instances) {
            assertThat(instance.upstream(1).totalInFlight()).isEqualTo(2);
        }
    }

    @Test
    void oldSumsAreNotAppliedAgain() {
        Instance instance = instances.get(0);
        instances.get(3).start(1, 5);
        time.runFor(1_000);
        List<Message> old = List.copyOf(instance.received);
        for (int i = 0; i < 5; i++) {
            instances.get(3).upstream(1).requestEnded();
        }
        time.runFor(1_000);
        assertThat(instance.upstream(1).totalInFlight()).isZero();
        old.stream().filter(WorkSum.class::isInstance).forEach(instance.loads::handle);
        assertThat(instance.upstream(1).totalInFlight()).isZero();
    }

    @Test
    void sumsExpireWhenNoneArrive() {
        instances.get(3).start(1, 5);
        time.runFor(1_000);
        network.isolate("e0");
        time.runFor(2_000);
        Instance instance = instances.get(0);
        assertThat(instance.loads.status().known()).isZero();
        assertThat(instance.upstream(1).totalInFlight()).isZero();
        network.heal();
        time.runFor(1_000);
        assertThat(instance.upstream(1).totalInFlight()).isEqualTo(5);
    }

    @Test
    void sumsAreReadWhileListsOfUpstreamsDiffer() {
        instances.get(0).registry.accept(heartbeat(3, 1));
        instances.get(1).registry.accept(heartbeat(2, 2));
        instances.get(3).start(1, 4);
        time.runFor(1_000);
        for (Instance instance : instances) {
            assertThat(instance.upstream(1).totalInFlight()).isEqualTo(4);
        }
    }

    @Test
    void instanceWithoutRequestsIsSilent() {
        time.runFor(1_000);
        long before = network.messageCount();
        Instance idle = new Instance("idle");
        idle.loads.setPeers(names);
        time.runFor(1_000);
        assertThat(idle.received).isEmpty();
        assertThat(network.messageCount()).isGreaterThan(before);
    }

    @Test
    void smallFleetSendsNothing() {
        instances.forEach(instance -> instance.loads.setPeers(names.subList(0, COUNT - 1)));
        time.runFor(1_000);
        long before = network.messageCount();
        time.runFor(1_000);
        assertThat(network.messageCount()).isEqualTo(before);
    }

    @Test
    void valuesOfLaterBuildsAreSkipped() {
        byte[] later = {3, 7, 0, 0, 0, 2, 5, (byte) 0x81, 1, 8, 0, 0, 0, 1, 1, 1};
        assertThat(WorkCodec.decodeWithKeys(later))
                .isEqualTo(Map.of(7, new Work(2, 5), 8, new Work(1, 1)));
        assertThatThrownBy(() -> WorkCodec.decodeWithKeys(new byte[] {2, 7, 0}))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
