package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceLease;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that a holder respects its marks until the lease of every promise that it reported has
 * ended, even if its reports arrive but the updates to it are lost.
 */
final class EntryInstanceLeaseTest implements FleetListener {
    private static final String ENTRY = "10.0.0.1:7000";
    private static final String CONTROL = "10.0.0.9:7000";

    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network = new VirtualNetwork(time, new Random(1));
    private final VirtualProcess process = new VirtualProcess(ENTRY, time, network);
    private final VirtualProcess control = new VirtualProcess(CONTROL, time, network);
    private final List<ClockReading> promises = new ArrayList<>();
    private String holder = "";
    private EntryInstance entryInstance;

    @BeforeEach
    void start() {
        network.setFaults(0, 0, 0);
        control.onMessage(
                (to, message) -> {
                    if (message instanceof EntryReport report) {
                        holder = report.holder();
                        promises.add(report.promised());
                    }
                });
        entryInstance =
                new EntryInstance(
                        ENTRY,
                        "kokura",
                        List.of(CONTROL),
                        process,
                        process,
                        new SeededRandom(new Random(1)),
                        time::nowMillis,
                        new ClockReading("boot-1", time.nowMillis(), time.nowMillis()),
                        this);
        time.runFor(50);
    }

    private void sendUpdate(boolean leaseKept) {
        entryInstance.handle(
                new FleetUpdate(
                        CONTROL,
                        holder,
                        false,
                        CONTROL,
                        List.of(CONTROL),
                        null,
                        1,
                        0,
                        null,
                        1,
                        0,
                        0,
                        List.of(),
                        leaseKept,
                        List.of(),
                        0,
                        0,
                        List.of()));
    }

    private boolean isLimitedToMarks() {
        return entryInstance.slices().view("roy").limitedToMark();
    }

    @Test
    void leaseOutlastsEveryReportedPromise() {
        sendUpdate(true);
        time.runFor(700);
        sendUpdate(true);
        checkPromisesUntilTheLeaseEnds();
    }

    @Test
    void updateFromALeaderWithoutTheLeaseExtendsItToo() {
        sendUpdate(true);
        time.runFor(700);
        sendUpdate(false);
        checkPromisesUntilTheLeaseEnds();
    }

    private void checkPromisesUntilTheLeaseEnds() {
        long leaseEndMillis = 0;
        for (int i = 0; i < 100; i++) {
            time.runFor(100);
            if (leaseEndMillis == 0 && !isLimitedToMarks()) {
                leaseEndMillis = time.nowMillis();
            }
        }
        assertThat(leaseEndMillis).isPositive();
        long lastPromiseMillis = leaseEndMillis - SliceLease.DURATION_MILLIS;
        assertThat(promises).hasSizeGreaterThan(20);
        assertThat(promises).allMatch(promise -> promise.monotonicMillis() <= lastPromiseMillis);
    }

    @Test
    void holderWithoutACommittedLeaseStaysBoundToItsMarks() {
        sendUpdate(false);
        time.runFor(60_000);
        assertThat(isLimitedToMarks()).isTrue();
    }

    @Override
    public void onConfiguration(ConfigurationDocument document) {
        // Not part of these tests.
    }

    @Override
    public void onUpstream(Heartbeat heartbeat) {
        // Not part of these tests.
    }

    @Override
    public void onPeers(List<Peer> peers) {
        // Not part of these tests.
    }

    @Override
    public void onSlices() {
        // Not part of these tests.
    }
}
