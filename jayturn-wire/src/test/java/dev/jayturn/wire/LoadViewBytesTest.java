package dev.jayturn.wire;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import dev.jayturn.core.loadview.FleetLoads;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The view of the load of a large fleet costs each instance few bytes and little processor time.
 */
final class LoadViewBytesTest {
    /** Length and type of a frame of the link. */
    private static final int FRAME_BYTES = 5;

    private static final int WARM_UP_MILLIS = 3_000;
    private static final int MILLIS = 1_000;

    /** Over this time, turns as a holder are shared evenly enough to judge single instances. */
    private static final int LONG_SECONDS = 300;

    private static final double MAX_CORE_SHARE = 0.005;
    private static final double NANOS_PER_SECOND = 1e9;

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(1);
    private final VirtualNetwork network = new VirtualNetwork(time, random);
    private final List<Instance> instances = new ArrayList<>();
    private double requestMillis;

    /** An instance that encodes what it sends, and decodes what it receives. */
    private final class Instance implements TimerService, Transport {
        final VirtualProcess process;
        final UpstreamRegistry registry = new UpstreamRegistry(service -> 0);
        final FleetLoads loads;
        long bytes;
        long messages;

        Instance(String name, List<Heartbeat> heartbeats) {
            process = new VirtualProcess(name, time, network);
            heartbeats.forEach(registry::accept);
            loads = new FleetLoads(name, registry, this, this, 18);
            process.onMessage((to, message) -> loads.handle(message));
        }

        @Override
        public void send(String to, Message message) {
            byte[] body = MessageCodec.encode(message);
            bytes += body.length + FRAME_BYTES;
            messages++;
            try {
                process.send(to, MessageCodec.decodeMessage(body));
            } catch (IOException e) {
                throw new IllegalStateException("cannot decode " + message, e);
            }
        }

        @Override
        public long nowMillis() {
            return process.nowMillis();
        }

        @Override
        public Cancellable schedule(long delayMillis, Runnable task) {
            return process.schedule(delayMillis, task);
        }

        void startRequest(double perSecond) {
            long delay = Math.round(-Math.log(1 - random.nextDouble()) * MILLIS / perSecond);
            process.schedule(
                    delay,
                    () -> {
                        startRequest(perSecond);
                        List<UpstreamLoad> all = new ArrayList<>(registry.all());
                        UpstreamLoad upstream = all.get(random.nextInt(all.size()));
                        long uncached =
                                upstream.requestStarted(
                                        new RequestProfile(
                                                1 + random.nextInt(12_000), 300, List.of()));
                        loads.onWorkChanged();
                        process.schedule(
                                (long) (requestMillis / 2),
                                () -> upstream.firstEventReceived(uncached, 1, false));
                        process.schedule((long) requestMillis, upstream::requestEnded);
                    });
        }
    }

    @ParameterizedTest(name = "{0} instances, {1} upstreams, {2} requests a second each")
    @CsvSource({"69, 48, 4.2, 400, 4, 30", "140, 48, 3, 400, 4, 300", "350, 1300, 29, 1500, 20, 6"})
    void eachInstanceSendsFewBytes(
            int count,
            int upstreams,
            double perSecond,
            double millis,
            double maxKilobytes,
            int usualSeconds) {
        int seconds = Integer.getInteger("load.view.seconds", usualSeconds);
        requestMillis = millis;
        List<Heartbeat> heartbeats = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            String address = "10.1." + i / 200 + '.' + i % 200 + ":8000";
            heartbeats.add(
                    new Heartbeat("u" + i, "s", address, "a", 64, UpstreamState.READY, 1, 1, "v1"));
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("10.2." + i / 200 + '.' + i % 200 + ":9000");
            network.setDataCentre(names.get(i), "z" + i % 6);
            instances.add(new Instance(names.get(i), heartbeats));
        }
        for (Instance instance : instances) {
            instance.loads.setPeers(names);
            instance.startRequest(perSecond);
        }
        time.runFor(WARM_UP_MILLIS);
        instances.forEach(instance -> instance.bytes = 0);
        instances.forEach(instance -> instance.messages = 0);
        long startedNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        time.runFor(seconds * MILLIS);
        double usedNanos =
                ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startedNanos;
        double mean = instances.stream().mapToLong(i -> i.bytes).average().orElse(0);
        double most = instances.stream().mapToLong(i -> i.bytes).max().orElse(0);
        double messages = instances.stream().mapToLong(i -> i.messages).average().orElse(0);
        double coreShare = usedNanos / NANOS_PER_SECOND / seconds / count;
        String seen =
                String.format(
                        "%d instances: %.2f KB/s mean, %.2f most, %.1f messages/s, %.5f of a core",
                        count,
                        mean / seconds / MILLIS,
                        most / seconds / MILLIS,
                        messages / seconds,
                        coreShare);
        System.out.println(seen);
        assertThat(instances).as(seen).allMatch(instance -> instance.loads.status().unknown() == 0);
        assertThat(mean / seconds / MILLIS).as(seen).isLessThanOrEqualTo(maxKilobytes);
        if (seconds >= LONG_SECONDS) {
            assertThat(most / seconds / MILLIS).as(seen).isLessThanOrEqualTo(maxKilobytes);
        }
        assertThat(coreShare).as(seen).isLessThanOrEqualTo(MAX_CORE_SHARE);
    }
}
