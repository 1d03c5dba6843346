package dev.jayturn.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class CostRankTest {
    @Test
    void moreUrgentRequestCostsMoreWhateverItsWork() {
        assertThat(CostRank.of(0, false, 1_000_000, 10)).isLessThan(CostRank.of(1, true, 1, 10));
    }

    @Test
    void requestThatCanMeetItsObjectiveCostsMoreThanALateOneOfItsPriority() {
        assertThat(CostRank.of(2, true, 1_000, 10)).isLessThan(CostRank.of(2, false, 1, 10));
    }

    @Test
    void requestThatNeedsLessWorkCostsMoreIfRefused() {
        assertThat(CostRank.of(2, true, 4, 10)).isLessThan(CostRank.of(2, true, 10, 10));
        assertThat(CostRank.of(2, true, 10, 10)).isLessThan(CostRank.of(2, true, 20, 10));
        assertThat(CostRank.of(2, true, 20, 10)).isLessThan(CostRank.of(2, true, 21, 10));
    }

    @Test
    void requestWithoutAKnownAverageRanksLikeAnAverageOne() {
        assertThat(CostRank.of(3, true, 500, 0)).isEqualTo(CostRank.of(3, true, 10, 10));
    }

    @Test
    void ranksOfAnyPriorityAndWorkAreInRange() {
        for (int priority : new int[] {Integer.MIN_VALUE, -1, 0, 31, 32, Integer.MAX_VALUE}) {
            for (long work : new long[] {0, 1, Long.MAX_VALUE}) {
                assertThat(CostRank.of(priority, false, work, 0.001))
                        .isBetween(0, CostRank.RANKS - 1);
            }
        }
    }
}
