package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.slice.LifeClock;
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

/** What a holder promises against what it does, while its reports arrive and no update does. */
final class FleetLeaseTest implements FleetListener {
    private static final String ENTRY = "10.0.0.1:7000";
    private static final String CONTROL = "10.0.0.9:7000";

    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network = new VirtualNetwork(time, new Random(1));
    private final VirtualProcess process = new VirtualProcess(ENTRY, time, network);
    private final VirtualProcess control = new VirtualProcess(CONTROL, time, network);
    private final List<LifeClock> promises = new ArrayList<>();
    private String holder = "";
    private FleetEntry fleet;

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
        fleet =
                new FleetEntry(
                        ENTRY,
                        "kokura",
                        List.of(CONTROL),
                        process,
                        process,
                        new SeededRandom(new Random(1)),
                        time::nowMillis,
                        "run-1",
                        this);
        time.runFor(50);
    }

    private void update(boolean leaseKept) {
        fleet.handle(
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
                        List.of()));
    }

    private boolean isLeased() {
        return fleet.slices().view("roy").leased();
    }

    @Test
    void noPromiseThatArrivedOutlastsTheOneThatIsKept() {
        update(true);
        time.runFor(700);
        update(true);
        checkPromisesUntilTheLeaseEnds();
    }

    @Test
    void aLeaderThatHasNotSeenTheLeaseYetExtendsItAllTheSame() {
        update(true);
        time.runFor(700);
        update(false);
        checkPromisesUntilTheLeaseEnds();
    }

    private void checkPromisesUntilTheLeaseEnds() {
        long stopped = 0;
        for (int i = 0; i < 100; i++) {
            time.runFor(100);
            if (stopped == 0 && !isLeased()) {
                stopped = time.nowMillis();
            }
        }
        assertThat(stopped).isPositive();
        long end = stopped - SliceLease.MILLIS;
        assertThat(promises).hasSizeGreaterThan(20);
        assertThat(promises).allMatch(promise -> promise.steadyMillis() <= end);
    }

    @Test
    void aHolderWhosePromiseIsNotKeptDrawsNoMoreThanItsMarksForGood() {
        update(false);
        time.runFor(60_000);
        assertThat(isLeased()).isTrue();
    }

    @Override
    public void onConfiguration(ConfigurationDocument document) {
        // Not looked at here.
    }

    @Override
    public void onUpstream(Heartbeat heartbeat) {
        // Not looked at here.
    }

    @Override
    public void onPeers(List<Peer> peers) {
        // Not looked at here.
    }

    @Override
    public void onSlices() {
        // Not looked at here.
    }
}
