package dev.jayturn.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class InstanceCountsTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final long UPDATE_MILLIS = 300;

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("entry", time, new VirtualNetwork(time, new Random(1)));
    private final InstanceCounts counts = new InstanceCounts(process, WINDOW_MILLIS);

    private void recordFor(long millis, int instances) {
        long endMillis = time.nowMillis() + millis;
        while (time.nowMillis() < endMillis) {
            counts.record(instances);
            time.runFor(Math.min(UPDATE_MILLIS, endMillis - time.nowMillis()));
        }
    }

    @Test
    void instanceWithoutACountUsesNoSlack() {
        time.runFor(3 * WINDOW_MILLIS);
        assertThat(counts.divisor()).isZero();
        assertThat(counts.ageMillis()).isEqualTo(-1);
    }

    @Test
    void startedInstanceUsesATenthOfItsShareForAWindow() {
        recordFor(WINDOW_MILLIS - 1, 6);
        assertThat(counts.divisor()).isEqualTo(60);
        time.runFor(1);
        assertThat(counts.divisor()).isEqualTo(6);
    }

    @Test
    void countOfALeaderThatHasRestartedDoesNotRaiseTheShare() {
        recordFor(WINDOW_MILLIS, 6);
        recordFor(UPDATE_MILLIS, 1);
        assertThat(counts.divisor()).isEqualTo(6);
    }

    @Test
    void lowerCountTakesEffectAfterTwoWindows() {
        recordFor(WINDOW_MILLIS, 6);
        recordFor(2 * WINDOW_MILLIS - UPDATE_MILLIS, 3);
        assertThat(counts.divisor()).isEqualTo(6);
        recordFor(2 * UPDATE_MILLIS, 3);
        assertThat(counts.divisor()).isEqualTo(3);
    }

    @Test
    void higherCountTakesEffectAtOnce() {
        recordFor(WINDOW_MILLIS, 6);
        counts.record(30);
        assertThat(counts.divisor()).isEqualTo(30);
    }

    @Test
    void instanceThatIsCutOffForAWindowUsesNoSlackUntilItsReturn() {
        recordFor(WINDOW_MILLIS, 6);
        time.runFor(WINDOW_MILLIS - UPDATE_MILLIS);
        assertThat(counts.divisor()).isEqualTo(6);
        time.runFor(2 * UPDATE_MILLIS);
        assertThat(counts.divisor()).isZero();
        recordFor(WINDOW_MILLIS - 1, 6);
        assertThat(counts.divisor()).isEqualTo(60);
        recordFor(UPDATE_MILLIS, 6);
        assertThat(counts.divisor()).isEqualTo(6);
    }
}
