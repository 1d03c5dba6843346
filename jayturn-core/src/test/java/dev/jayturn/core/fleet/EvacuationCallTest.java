package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.consensus.AppendReply;
import dev.jayturn.core.evacuation.EvacuationCall;
import dev.jayturn.core.evacuation.EvacuationCallback;
import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Orders to empty data centres and to take them back, at the control instances. */
final class EvacuationCallTest {
    private static final String KOKURA = "kokura-1";
    private static final long SETTLE_MILLIS = 3_000;

    private VirtualFleet fleet;
    private final List<String> outcomes = new ArrayList<>();

    private final EvacuationCallback callback =
            new EvacuationCallback() {
                @Override
                public void onConfirmed() {
                    outcomes.add("confirmed");
                }

                @Override
                public void onUnconfirmed() {
                    outcomes.add("unconfirmed");
                }
            };

    @BeforeEach
    void startFleet() {
        fleet = new VirtualFleet(1, 3, 0);
        fleet.time.runFor(SETTLE_MILLIS);
    }

    private List<VirtualControl> controls() {
        return List.copyOf(fleet.controls.values());
    }

    private VirtualControl leader() {
        return controls().stream()
                .filter(c -> c.process.isRunning() && c.raft.isLeader())
                .findFirst()
                .orElseThrow();
    }

    private VirtualControl follower() {
        return controls().stream().filter(c -> !c.raft.isLeader()).findFirst().orElseThrow();
    }

    private void submit(VirtualControl control, boolean emptied) {
        control.process.run(
                () -> control.instance.evacuationCalls().submit(KOKURA, emptied, callback));
    }

    private void order(VirtualControl control, boolean emptied) {
        outcomes.clear();
        submit(control, emptied);
        fleet.time.runFor(1_000);
    }

    private void assertEmptied(boolean emptied) {
        fleet.time.runFor(SETTLE_MILLIS);
        for (VirtualControl control : controls()) {
            if (control.process.isRunning()) {
                assertThat(control.state.evacuation().emptied().contains(KOKURA))
                        .as(control.name)
                        .isEqualTo(emptied);
            }
        }
    }

    @Test
    void everyControlInstanceAcknowledgesOrders() {
        for (VirtualControl control : controls()) {
            order(control, true);
            assertThat(outcomes).containsExactly("confirmed");
            assertEmptied(true);
            order(control, true);
            assertThat(outcomes).as("sent again").containsExactly("confirmed");
            order(control, false);
            assertThat(outcomes).containsExactly("confirmed");
            assertEmptied(false);
        }
    }

    @Test
    void withoutAQuorumNothingIsAcknowledged() {
        VirtualControl left = follower();
        controls().stream().filter(c -> c != left).forEach(c -> c.process.crash());
        order(left, true);
        assertThat(outcomes).containsExactly("unconfirmed");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void acknowledgedOrderSurvivesTheLossOfTheLeader(boolean emptied) {
        order(leader(), true);
        order(follower(), emptied);
        assertThat(outcomes).containsExactly("confirmed");
        leader().process.crash();
        assertEmptied(emptied);
    }

    @Test
    void acknowledgedOrderSurvivesARestartOfAll() {
        order(follower(), true);
        controls().forEach(VirtualControl::restart);
        assertEmptied(true);
        order(follower(), false);
        controls().forEach(VirtualControl::restart);
        assertEmptied(false);
    }

    @Test
    void ordersAreInSnapshotsAndReachNewMembers() {
        order(follower(), true);
        for (int i = 1; i <= 450; i++) {
            leader().instance
                    .put(new PutConfiguration(i, new byte[] {1}, Map.of()), ignoredChange());
            fleet.time.runFor(20);
        }
        VirtualControl replaced = follower();
        replaced.loseDisk();
        fleet.time.runFor(SETTLE_MILLIS);
        replaced.restart();
        assertEmptied(true);
        controls().forEach(VirtualControl::restart);
        assertEmptied(true);
    }

    @Test
    void orderThatIsDelayedOnItsWayDoesNotUndoALaterOne() {
        long revision = leader().state.evacuation().revision();
        order(follower(), true);
        order(follower(), false);
        leader().instance.handle(new EvacuationCall(follower().name, 1, KOKURA, true, revision));
        assertEmptied(false);
    }

    @Test
    void instanceThatLagsOrdersOnTheBasisOfTheNewestRevision() {
        VirtualControl behind = follower();
        fleet.network.isolate(behind.name);
        for (int i = 0; i < 3; i++) {
            order(leader(), i % 2 == 0);
            assertThat(outcomes).containsExactly("confirmed");
        }
        fleet.network.heal();
        // The leader's next message shows it the way; its state is as before the cut.
        while (behind.raft.leader().isEmpty()) {
            fleet.time.runFor(1);
        }
        order(behind, false);
        assertThat(outcomes).containsExactly("confirmed");
        assertEmptied(false);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_200, 3_000})
    void orderReadAfterAStandstillIsLeftUnconfirmed(long pauseMillis) {
        VirtualControl paused = follower();
        order(leader(), true);
        paused.process.pause(pauseMillis);
        outcomes.clear();
        submit(paused, true);
        order(leader(), false);
        assertThat(outcomes).containsExactly("confirmed");
        fleet.time.runFor(pauseMillis);
        assertThat(outcomes).containsExactly("confirmed", "unconfirmed");
        assertEmptied(false);
        order(paused, true);
        assertThat(outcomes).containsExactly("confirmed");
    }

    @Test
    void callThatIsOverWhenItsAnswerComesIsNotSentAgain() {
        VirtualControl paused = follower();
        order(leader(), true);
        fleet.network.isolate(paused.name);
        order(leader(), false);
        fleet.network.heal();
        outcomes.clear();
        submit(paused, true);
        paused.process.pause(SETTLE_MILLIS);
        order(leader(), false);
        fleet.time.runFor(SETTLE_MILLIS);
        assertThat(outcomes).contains("confirmed");
        assertEmptied(false);
    }

    @Test
    void nothingIsProposedThatAReachableMemberCannotApply() {
        VirtualControl leading = leader();
        VirtualControl older = follower();
        leading.process.onMessage(
                (to, message) ->
                        leading.instance.handle(
                                message instanceof AppendReply reply
                                                && reply.from().startsWith(older.name)
                                        ? withoutLevel(reply)
                                        : message));
        fleet.time.runFor(SETTLE_MILLIS);
        long lastIndex = leading.raft.status().lastIndex();
        order(leading, true);
        assertThat(outcomes).containsExactly("unconfirmed");
        assertThat(leading.raft.status().lastIndex()).isEqualTo(lastIndex);
        older.process.crash();
        fleet.time.runFor(SETTLE_MILLIS);
        order(leading, true);
        assertThat(outcomes).containsExactly("confirmed");
    }

    private static AppendReply withoutLevel(AppendReply reply) {
        return new AppendReply(
                reply.from(),
                reply.to(),
                reply.term(),
                reply.success(),
                reply.index(),
                reply.round(),
                0);
    }

    private static ConfigurationCallback ignoredChange() {
        return new ConfigurationCallback() {
            @Override
            public void onConfirmed(ConfigurationDocument document) {
                // The changes only lengthen the log.
            }

            @Override
            public void onUnconfirmed() {
                // The changes only lengthen the log.
            }
        };
    }
}
