package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.evacuation.EvacuationCallback;
import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import dev.jayturn.core.result.ResultCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Data centres are emptied and taken back while messages are lost, entry instances restart, are cut
 * off and stand still, and control instances restart.
 */
final class EvacuationFleetTest {
    private static final long EVACUATE_MILLIS = 5_000;
    private static final long CONTACT_MILLIS = 5_000;
    private static final long RESEND_MILLIS = 1_000;
    private static final long STEP_MILLIS = 50;
    private static final long LONGEST_DISRUPTION_MILLIS = 8_000;
    private static final double LOSS_RATE = 0.05;
    private static final int DATA_CENTRES = 6;
    private static final String SERVICE = "s";
    private static final long BORN = 1_700_000_000_000L;

    private VirtualFleet fleet;
    private Random random;
    private final Map<String, Long> disruptedUntil = new HashMap<>();
    private final Map<String, Long> startedMillis = new HashMap<>();
    private long controlDisruptedUntil;
    private long sequence;
    private long nextHeartbeatsMillis;
    private final List<String> violations = new ArrayList<>();
    private int checks;
    private int startedChecks;

    /** The last order about a data centre that was acknowledged. */
    private final class Order implements EvacuationCallback {
        final String dataCentre;
        final boolean emptied;
        long acknowledgedMillis = -1;
        long sentMillis = -RESEND_MILLIS;
        boolean answered = true;

        Order(String dataCentre, boolean emptied) {
            this.dataCentre = dataCentre;
            this.emptied = emptied;
        }

        void sendIfDue() {
            long now = fleet.time.nowMillis();
            if (acknowledgedMillis < 0 && (answered || now - sentMillis >= RESEND_MILLIS)) {
                sentMillis = now;
                answered = false;
                List<VirtualControl> controls = List.copyOf(fleet.controls.values());
                VirtualControl control = controls.get(random.nextInt(controls.size()));
                control.process.run(
                        () -> control.instance.evacuationCalls().submit(dataCentre, emptied, this));
            }
        }

        @Override
        public void onConfirmed() {
            if (acknowledgedMillis < 0) {
                acknowledgedMillis = fleet.time.nowMillis();
            }
        }

        @Override
        public void onUnconfirmed() {
            answered = true;
        }
    }

    private static String dataCentre(int number) {
        return "data-centre-" + number;
    }

    private void sendHeartbeats() {
        if (fleet.time.nowMillis() < nextHeartbeatsMillis) {
            return;
        }
        nextHeartbeatsMillis = fleet.time.nowMillis() + 1_000;
        sequence++;
        for (int i = 0; i < DATA_CENTRES; i++) {
            Heartbeat heartbeat =
                    new Heartbeat(
                            "u" + i,
                            SERVICE,
                            "10.0.0." + i + ":80",
                            dataCentre(i),
                            4,
                            UpstreamState.READY,
                            BORN,
                            sequence,
                            "v1");
            List<VirtualControl> controls = List.copyOf(fleet.controls.values());
            VirtualControl control = controls.get(random.nextInt(controls.size()));
            control.process.run(() -> control.instance.onHeartbeat(heartbeat));
        }
    }

    private Dispatcher.Decision decide(VirtualEntry entry, String dataCentre) {
        Dispatcher.Query query =
                new Dispatcher.Query(
                        SERVICE,
                        RequestProfile.PLAIN,
                        null,
                        Set.of(),
                        10_000,
                        fleet.time.nowMillis());
        return entry.dispatcher.decide(
                query, upstream -> upstream.heartbeat().dataCentre().equals(dataCentre));
    }

    private boolean isUsed(VirtualEntry entry, String dataCentre) {
        return entry.configurationVersion > 0 && decide(entry, dataCentre).upstream() != null;
    }

    private boolean isControlStable() {
        return fleet.time.nowMillis() - controlDisruptedUntil >= CONTACT_MILLIS;
    }

    private boolean isInTouch(VirtualEntry entry) {
        return fleet.time.nowMillis() - disruptedUntil.getOrDefault(entry.name, -CONTACT_MILLIS)
                >= CONTACT_MILLIS;
    }

    private void check(Order order) {
        long now = fleet.time.nowMillis();
        if (order.acknowledgedMillis < 0
                || now - order.acknowledgedMillis < EVACUATE_MILLIS
                || !isControlStable()) {
            return;
        }
        for (VirtualEntry entry : fleet.entries.values()) {
            boolean startedSince =
                    startedMillis.getOrDefault(entry.name, -1L)
                            >= order.acknowledgedMillis + EVACUATE_MILLIS;
            boolean mustObey = isInTouch(entry) || (order.emptied && startedSince);
            if (mustObey && isUsed(entry, order.dataCentre) == order.emptied) {
                violations.add(
                        now
                                + " "
                                + entry.name
                                + (order.emptied ? " uses " : " spares ")
                                + order.dataCentre);
            }
            checks += mustObey ? 1 : 0;
            startedChecks += startedSince && !isInTouch(entry) ? 1 : 0;
        }
    }

    private void runUntil(long millis, Order order) {
        while (fleet.time.nowMillis() < millis) {
            sendHeartbeats();
            order.sendIfDue();
            fleet.time.runFor(STEP_MILLIS);
            check(order);
        }
    }

    private void acknowledge(Order order) {
        long limit = fleet.time.nowMillis() + 20_000;
        while (order.acknowledgedMillis < 0) {
            assertThat(fleet.time.nowMillis()).as("acknowledgement").isLessThan(limit);
            runUntil(fleet.time.nowMillis() + STEP_MILLIS, order);
        }
    }

    private VirtualEntry anyEntry() {
        List<VirtualEntry> all = List.copyOf(fleet.entries.values());
        return all.get(random.nextInt(all.size()));
    }

    private void disruptEntries() {
        long now = fleet.time.nowMillis();
        for (int i = 0; i < 1 + fleet.entries.size() / 10; i++) {
            VirtualEntry entry = anyEntry();
            int millis = 500 + random.nextInt((int) LONGEST_DISRUPTION_MILLIS - 500);
            switch (random.nextInt(3)) {
                case 0:
                    entry.process.crash();
                    fleet.entries.put(entry.name, fleet.new VirtualEntry(entry.name, "boot-1"));
                    disruptedUntil.put(entry.name, now);
                    startedMillis.put(entry.name, now);
                    break;
                case 1:
                    entry.process.pause(millis);
                    disruptedUntil.merge(entry.name, now + millis, Math::max);
                    break;
                default:
                    fleet.network.isolate(entry.name);
                    disruptedUntil.merge(entry.name, now + LONGEST_DISRUPTION_MILLIS, Math::max);
                    startedMillis.remove(entry.name);
                    break;
            }
        }
        fleet.time.schedule(LONGEST_DISRUPTION_MILLIS, fleet.network::heal);
    }

    private void disruptControl() {
        controlDisruptedUntil = fleet.time.nowMillis();
        List<VirtualControl> controls = List.copyOf(fleet.controls.values());
        if (random.nextBoolean()) {
            controls.forEach(VirtualControl::restart);
        } else {
            controls.stream().filter(c -> c.raft.isLeader()).forEach(VirtualControl::restart);
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 6", "2, 6", "3, 6", "4, 6", "5, 30", "6, 30", "7, 100"})
    void emptiedDataCentresAreNotUsedAndThoseTakenBackAre(long seed, int entries) {
        random = new Random(seed);
        fleet = new VirtualFleet(seed, 3, entries, entries / DATA_CENTRES + 1);
        fleet.network.setFaults(LOSS_RATE, 0.01, 5);
        fleet.time.runFor(3_000);
        fleet.put(1, Map.of(), ignored());
        runUntil(8_000, takenBack(dataCentre(0)));
        for (int round = 0; round < 3; round++) {
            String dataCentre = dataCentre(random.nextInt(DATA_CENTRES));
            Order empty = new Order(dataCentre, true);
            acknowledge(empty);
            if (random.nextInt(3) > 0) {
                disruptControl();
            }
            disruptEntries();
            runUntil(fleet.time.nowMillis() + EVACUATE_MILLIS, empty);
            disruptEntries();
            runUntil(
                    fleet.time.nowMillis() + LONGEST_DISRUPTION_MILLIS + CONTACT_MILLIS + 3_000,
                    empty);
            Order takeBack = takenBack(dataCentre);
            acknowledge(takeBack);
            disruptControl();
            runUntil(fleet.time.nowMillis() + EVACUATE_MILLIS + CONTACT_MILLIS + 2_000, takeBack);
        }
        assertThat(violations).isEmpty();
        assertThat(checks).isGreaterThan(1_000);
        assertThat(startedChecks).as("checks right after a start").isPositive();
    }

    private Order takenBack(String dataCentre) {
        return new Order(dataCentre, false);
    }

    @ParameterizedTest
    @CsvSource({"1, 6"})
    void requestIsRefusedWithItsReasonWhenAllDataCentresAreEmptied(long seed, int entries) {
        random = new Random(seed);
        fleet = new VirtualFleet(seed, 3, entries);
        fleet.time.runFor(3_000);
        fleet.put(1, Map.of(), ignored());
        for (int i = 0; i < DATA_CENTRES; i++) {
            acknowledge(new Order(dataCentre(i), true));
        }
        runUntil(fleet.time.nowMillis() + EVACUATE_MILLIS, new Order(dataCentre(0), true));
        for (VirtualEntry entry : fleet.entries.values()) {
            Dispatcher.Decision decision = decide(entry, dataCentre(0));
            assertThat(decision.code()).isEqualTo(ResultCode.DATA_CENTRES_EMPTIED);
            assertThat(decision.retryAfterMillis()).isPositive();
        }
    }

    private static ConfigurationCallback ignored() {
        return new ConfigurationCallback() {
            @Override
            public void onConfirmed(ConfigurationDocument document) {
                // The entry instances show whether it is in force.
            }

            @Override
            public void onUnconfirmed() {
                throw new AssertionError("the configuration was not confirmed");
            }
        };
    }
}
