package dev.jayturn.daemon.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.fleet.ConfigurationDocument;
import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.fleet.EntryReport;
import dev.jayturn.core.fleet.FleetListener;
import dev.jayturn.core.fleet.FleetUpdate;
import dev.jayturn.core.fleet.Peer;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceGrant;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class TokenReservationTest implements FleetListener, TokenReservation.Callback {
    private static final String ENTRY = "10.0.0.1:7000";
    private static final String CONTROL = "10.0.0.9:7000";
    private static final Peer UNRESPONSIVE_PEER =
            new Peer("10.0.0.2:7000", "yahata", "10.0.0.2:7000#1");

    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network = new VirtualNetwork(time, new Random(1));
    private final VirtualProcess process = new VirtualProcess(ENTRY, time, network);
    private final VirtualProcess control = new VirtualProcess(CONTROL, time, network);
    private final RetryQueue waitQueue = new RetryQueue();
    private final List<String> outcomes = new ArrayList<>();
    private EntryInstance entryInstance;
    private String holder = "";

    @BeforeEach
    void start() {
        network.setFaults(0, 0, 0);
        control.onMessage(
                (to, message) -> {
                    if (message instanceof EntryReport report) {
                        holder = report.holder();
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
                        new ClockReading("run-1", time.nowMillis(), time.nowMillis()),
                        this);
        time.runFor(50);
    }

    private void grant(long issued, long mark, long budgetRemaining) {
        entryInstance.handle(
                new FleetUpdate(
                        CONTROL,
                        holder,
                        false,
                        CONTROL,
                        List.of(CONTROL),
                        List.of(new Peer(ENTRY, "kokura", holder), UNRESPONSIVE_PEER),
                        1,
                        0,
                        null,
                        1,
                        0,
                        0,
                        List.of(),
                        true,
                        List.of(new SliceGrant("roy", issued, mark, budgetRemaining, 0)),
                        0,
                        0,
                        List.of()));
    }

    private TokenReservation reserve(long tokens) {
        TokenReservation reservation =
                new TokenReservation(process, waitQueue, entryInstance, "roy", tokens, 0, this);
        reservation.reserve();
        return reservation;
    }

    @Test
    void requestWithReservedTokensIsNotRefusedLater() {
        // The lease expires while the request waits for tokens of other instances. From then on the
        // whole slice is free, although no message arrives.
        grant(1_000, 50, 1_000);
        time.runFor(3_380);
        reserve(100);
        time.runFor(5_000);
        assertThat(outcomes).containsExactly("reserved");
    }

    @Test
    void waitingRequestContinuesWhenTheMarkIsRaised() {
        grant(1_000, 50, 1_000);
        reserve(100);
        time.runFor(80);
        assertThat(outcomes).isEmpty();
        grant(1_000, 500, 1_000);
        assertThat(outcomes).containsExactly("reserved");
    }

    @Test
    void requestBeforeTheFirstSlicesWaitsForThem() {
        reserve(100);
        time.runFor(1_000);
        assertThat(outcomes).isEmpty();
        grant(1_000, 1_000, 5_000);
        assertThat(outcomes).containsExactly("reserved");
    }

    @Test
    void requestIsRefusedIfTheFirstSlicesDoNotArriveInTime() {
        reserve(100);
        time.runFor(2_000);
        assertThat(outcomes).containsExactly("refused BUDGET_ELSEWHERE");
    }

    @Test
    void requestIsRefusedImmediatelyIfTheWholeBudgetIsSpent() {
        grant(50, 50, 60);
        reserve(100);
        assertThat(outcomes).containsExactly("refused BUDGET_SPENT");
    }

    @Test
    void refusalReportsThatOtherInstancesHoldTokens() {
        grant(50, 50, 5_000);
        reserve(100);
        time.runFor(5_000);
        assertThat(outcomes).containsExactly("refused BUDGET_ELSEWHERE");
    }

    @Test
    void requestThatWasRefusedOrHasEndedLeavesTheQueue() {
        grant(50, 50, 5_000);
        reserve(100);
        time.runFor(5_000);
        reserve(100).settle(0);
        assertThat(waitQueue.size()).isZero();
    }

    @Test
    void unspentTokensAreReleasedForTheNextRequest() {
        grant(1_000, 1_000, 1_000);
        TokenReservation first = reserve(800);
        first.settle(200);
        reserve(800);
        assertThat(outcomes).containsExactly("reserved", "reserved");
    }

    @Override
    public void onReserved() {
        outcomes.add("reserved");
    }

    @Override
    public void onRefused(ResultCode code) {
        outcomes.add("refused " + code.name());
    }

    @Override
    public void onConfiguration(ConfigurationDocument document) {
        // Not used by this test.
    }

    @Override
    public void onUpstream(Heartbeat heartbeat) {
        // Not used by this test.
    }

    @Override
    public void onPeers(List<Peer> peers) {
        // Not used by this test.
    }

    @Override
    public void onSlices() {
        waitQueue.retryAll();
    }
}
