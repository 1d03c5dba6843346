package dev.jayturn.core.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.result.ResultCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class FleetTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void faultFreeFleetAnswersAndBillsEveryCall(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, true);
        assertThat(fleet.leader()).isNotNull();
        assertThat(fleet.leader().node().raft().members()).hasSize(3);
        assertThat(fleet.credit("kokura", "c1", "b", 10_000).code()).isEqualTo(ResultCode.OK);
        fleet.scheduleCalls(60, 5_000, 0.3);
        fleet.time().runFor(30_000);
        assertThat(fleet.calls()).allMatch(RetryingCall::isAnswered);
        fleet.invariants().checkWhenIdle();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void invariantsHoldWhenMessagesAreLostAndDuplicated(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, true);
        fleet.credit("kokura", "c1", "b", 10_000);
        fleet.network().setFaults(0.05, 0.1, 60);
        fleet.scheduleCalls(60, 10_000, 0.3);
        fleet.time().runFor(30_000);
        fleet.network().setFaults(0, 0, 5);
        fleet.time().runFor(30_000);
        fleet.invariants().checkWhenIdle();
    }
}
