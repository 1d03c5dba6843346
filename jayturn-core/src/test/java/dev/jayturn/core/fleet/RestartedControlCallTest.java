package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A control instance forwards a call, restarts, and takes another call before the leader, which had
 * no majority meanwhile, answers the first one.
 */
final class RestartedControlCallTest {
    private static final byte[] OLD_DOCUMENT = {5};
    private static final byte[] NEW_DOCUMENT = {7};

    private @Nullable VirtualFleet fleet;
    private final List<ConfigurationDocument> confirmed = new ArrayList<>();
    private long versionAtLeaderWhenConfirmed = -1;
    private @Nullable VirtualControl leader;

    private final ConfigurationCallback callback =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    confirmed.add(document);
                    versionAtLeaderWhenConfirmed = leader.state.configuration().version();
                }

                @Override
                public void onUnconfirmed() {
                    // Operators send the call again.
                }
            };

    private static final ConfigurationCallback IGNORED =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {
                    throw new AssertionError("its process has ended");
                }

                @Override
                public void onUnconfirmed() {
                    throw new AssertionError("its process has ended");
                }
            };

    /** Returns a follower that has forwarded a change and restarted before it was stored there. */
    private VirtualControl restartedFollower(long seed) {
        VirtualFleet started = new VirtualFleet(seed, 3, 0);
        fleet = started;
        started.time.runFor(3_000);
        List<VirtualControl> followers = new ArrayList<>(started.controls.values());
        leader = followers.stream().filter(c -> c.raft.isLeader()).findFirst().orElseThrow();
        followers.remove(leader);
        followers.get(1).process.crash();
        VirtualControl follower = followers.get(0);
        follower.instance.put(new PutConfiguration(5, OLD_DOCUMENT, Map.of()), IGNORED);
        follower.restart();
        return follower;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void changeIsNotConfirmedByTheAnswerToACallOfTheProcessBefore(long seed) {
        VirtualControl follower = restartedFollower(seed);
        follower.instance.put(new PutConfiguration(7, NEW_DOCUMENT, Map.of()), callback);
        fleet.time.runFor(900);
        assertThat(confirmed).hasSize(1);
        assertThat(versionAtLeaderWhenConfirmed).isEqualTo(7);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void readIsNotAnsweredByTheAnswerToACallOfTheProcessBefore(long seed) {
        VirtualControl follower = restartedFollower(seed);
        follower.instance.read(callback);
        fleet.time.runFor(900);
        assertThat(confirmed).hasSize(1);
        assertThat(confirmed.get(0).document()).isEqualTo(OLD_DOCUMENT);
    }
}
