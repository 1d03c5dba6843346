package dev.jayturn.daemon.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class PermitWaitTest {
    private static final long DEADLINE_MILLIS = 10_000_000_000L;
    private static final long LONGEST_WAIT_MILLIS = 150;

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("entry", time, new VirtualNetwork(time, new Random(1)));
    private final RetryQueue queue = new RetryQueue();
    private int retries;
    private final PermitWait wait = new PermitWait(process, queue, () -> retries++);

    @Test
    void requestWaitsForTheAnswerOfAnOwner() {
        assertThat(wait.await(true, DEADLINE_MILLIS, 0)).isTrue();
        time.runFor(20);
        queue.retryAll();
        assertThat(retries).isEqualTo(1);
    }

    @Test
    void requestDoesNotWaitIfNoOwnerWasAsked() {
        assertThat(wait.await(false, DEADLINE_MILLIS, 0)).isFalse();
        assertThat(queue.size()).isZero();
    }

    @Test
    void requestThatHasWaitedLongEnoughLeavesTheQueueAndIsDecidedAgain() {
        wait.await(true, DEADLINE_MILLIS, 0);
        time.runFor(LONGEST_WAIT_MILLIS);
        assertThat(retries).isEqualTo(1);
        assertThat(wait.await(true, DEADLINE_MILLIS, 0)).isFalse();
        assertThat(queue.size()).isZero();
    }

    @Test
    void requestDoesNotWaitPastItsDeadline() {
        assertThat(wait.await(true, time.nowMillis() + 40, 0)).isTrue();
        time.runFor(40);
        assertThat(retries).isEqualTo(1);
        assertThat(wait.await(true, time.nowMillis(), 0)).isFalse();
    }
}
