package dev.jayturn.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class SharedRetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("entry", time, new VirtualNetwork(time, new Random(1)));
    private final SharedRetryBudget budget = new SharedRetryBudget(process, WINDOW_MILLIS, 0.2, 50);

    private int acquireAll(int instances) {
        int acquired = 0;
        while (budget.tryAcquire(instances)) {
            acquired++;
        }
        return acquired;
    }

    @Test
    void allInstancesTogetherStayWithinTheSlack() {
        assertThat(5 * acquireAll(5)).isBetween(1, 50);
    }

    @Test
    void eachRequestAllowsTheRatioOfRetries() {
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest();
        }
        assertThat(acquireAll(1_000_000)).isBetween(100, 200);
    }

    @Test
    void retriesOfCallersThatMoveToAnotherInstanceStayWithinTheRatio() {
        SharedRetryBudget other = new SharedRetryBudget(process, WINDOW_MILLIS, 0.2, 50);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest();
        }
        time.runFor(WINDOW_MILLIS);
        while (budget.tryAcquire(0)) {
            retries++;
        }
        for (int i = 0; i < 1_000; i++) {
            other.recordRequest();
        }
        time.runFor(WINDOW_MILLIS);
        while (other.tryAcquire(0)) {
            retries++;
        }
        assertThat(retries).isBetween(1, 200);
    }

    @Test
    void retriesOlderThanTheWindowDoNotCount() {
        int firstWindow = acquireAll(1);
        time.runFor(WINDOW_MILLIS + 1);
        assertThat(acquireAll(1)).isEqualTo(firstWindow);
    }
}
