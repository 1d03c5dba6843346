package dev.jayturn.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class DirectoryFreshnessTest {
    private static final int CONTROLS = 3;

    private final DirectoryFreshness freshness =
            new DirectoryFreshness(0, new DirectoryFreshness.Listener() {});

    private void updateByLeader(long answeredMillis, long nowMillis) {
        freshness.onUpdate("leader", true, true, CONTROLS, answeredMillis, nowMillis);
    }

    private void checkUntil(long fromMillis, long toMillis) {
        for (long millis = fromMillis; millis < toMillis; millis += 300) {
            freshness.check(millis);
        }
    }

    @Test
    void firstUpdateOfAProcessCounts() {
        updateByLeader(70, 100);
        assertThat(freshness.isCurrent(200)).isTrue();
    }

    @Test
    void updateOfABuildThatDoesNotSayWhatItAnswersCounts() {
        updateByLeader(0, 100);
        assertThat(freshness.isCurrent(200)).isTrue();
    }

    /** The network may deliver what was sent before or during a cut once it ends. */
    @Test
    void updateThatWasHeldUpByACutDoesNotCount() {
        updateByLeader(70, 100);
        checkUntil(100, 5_000);
        updateByLeader(70, 5_000);
        updateByLeader(370, 5_010);
        assertThat(freshness.isCurrent(5_010)).isFalse();
        updateByLeader(5_100, 5_400);
        assertThat(freshness.isCurrent(5_400)).isTrue();
    }
}
