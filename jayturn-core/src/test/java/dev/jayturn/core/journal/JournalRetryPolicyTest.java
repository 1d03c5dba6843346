package dev.jayturn.core.journal;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class JournalRetryPolicyTest {
    @Test
    void attemptsBecomeRarerUpToTwoASecond() {
        assertThat(JournalRetryPolicy.retryDelayMillis(1)).isEqualTo(20);
        assertThat(JournalRetryPolicy.retryDelayMillis(2)).isEqualTo(40);
        assertThat(JournalRetryPolicy.retryDelayMillis(20)).isEqualTo(500);
        assertThat(JournalRetryPolicy.retryDelayMillis(Integer.MAX_VALUE)).isEqualTo(500);
    }

    @Test
    void processEndsOnlyForMuchThatHasWaitedLong() {
        assertThat(JournalRetryPolicy.mustEnd(1 << 20, 3_600_000)).isFalse();
        assertThat(JournalRetryPolicy.mustEnd(100 << 20, 1_000)).isFalse();
        assertThat(JournalRetryPolicy.mustEnd(100 << 20, 5_000)).isTrue();
    }

    @Test
    void callbacksAreDroppedOnlyIfManyWaitAndTheOldestWaitsLong() {
        assertThat(JournalRetryPolicy.mustDropCallback(100, 3_600_000)).isFalse();
        assertThat(JournalRetryPolicy.mustDropCallback(10_000, 1_000)).isFalse();
        assertThat(JournalRetryPolicy.mustDropCallback(10_000, 5_000)).isTrue();
    }

    @Test
    void leaderResignsOnlyAfterALongFailure() {
        assertThat(JournalRetryPolicy.mustResign(4_500)).isFalse();
        assertThat(JournalRetryPolicy.mustResign(10_000)).isTrue();
    }
}
