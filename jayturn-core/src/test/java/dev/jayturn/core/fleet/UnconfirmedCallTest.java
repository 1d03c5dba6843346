package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.consensus.MemberStatus;
import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What an instance says of itself if it cannot confirm an operator's read. */
final class UnconfirmedCallTest {
    private static final long SETTLE_MILLIS = 3_000;

    private final List<String> reasons = new ArrayList<>();
    private VirtualFleet fleet;
    private VirtualControl follower;

    private final ConfigurationListener listener =
            new ConfigurationListener() {
                @Override
                public void onCallForwarded(long id, long version, String leader) {
                    // Only the end of a call is checked.
                }

                @Override
                public void onCallAnswered(ConfigurationAnswer answer) {
                    // Only the end of a call is checked.
                }

                @Override
                public void onCallUnconfirmed(long id, long version, String reason, String leader) {
                    reasons.add(reason);
                }

                @Override
                public void onEntryBehind(String entry, long version, long newest, long millis) {
                    throw new AssertionError("there are no entry instances");
                }

                @Override
                public void onEntryCaughtUp(String entry, long version, long millis) {
                    throw new AssertionError("there are no entry instances");
                }
            };

    @BeforeEach
    void startFleet() {
        fleet = new VirtualFleet(1, 3, 0);
        fleet.time.runFor(SETTLE_MILLIS);
        follower =
                fleet.controls.values().stream()
                        .filter(control -> !control.raft.isLeader())
                        .findFirst()
                        .orElseThrow();
        follower.instance.setConfigurationListener(listener);
    }

    private void read() {
        follower.instance.read(
                new ConfigurationCallback() {
                    @Override
                    public void onConfirmed(ConfigurationDocument document) {
                        reasons.add("confirmed");
                    }

                    @Override
                    public void onUnconfirmed() {
                        // The listener is told the reason.
                    }
                });
        fleet.time.runFor(SETTLE_MILLIS);
    }

    private void crashOthers() {
        for (VirtualControl control : fleet.controls.values()) {
            if (control != follower) {
                control.process.crash();
            }
        }
    }

    @Test
    void instanceWithoutAMajorityNamesAMissingLeader() {
        crashOthers();
        fleet.time.runFor(SETTLE_MILLIS);
        read();
        assertThat(reasons).containsExactly("no-leader");
        assertThat(follower.raft.status().votes()).isEqualTo(1);
        assertThat(follower.raft.status().leaderSilentMillis()).isGreaterThan(SETTLE_MILLIS);
    }

    @Test
    void readThatTheLeaderDoesNotAnswerIsNamedSo() {
        fleet.network.isolate(follower.name);
        read();
        assertThat(reasons).containsExactly("unanswered");
    }

    @Test
    void diskThatDoesNotSyncShowsInTheDurableIndex() {
        follower.disk.failSyncs();
        fleet.put(1, Map.of(), ignored());
        fleet.time.runFor(SETTLE_MILLIS);
        MemberStatus full = follower.raft.status();
        assertThat(full.durableIndex()).isLessThan(full.lastIndex());
        follower.disk.resumeSyncs();
        fleet.time.runFor(SETTLE_MILLIS);
        MemberStatus recovered = follower.raft.status();
        assertThat(recovered.durableIndex()).isEqualTo(recovered.lastIndex());
    }

    private static ConfigurationCallback ignored() {
        return new ConfigurationCallback() {
            @Override
            public void onConfirmed(ConfigurationDocument document) {
                // Only the log is checked.
            }

            @Override
            public void onUnconfirmed() {
                // Only the log is checked.
            }
        };
    }
}
