package dev.jayturn.daemon.loop;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
final class ControlLoopTest {
    private final ControlLoop loop = new ControlLoop();

    @AfterEach
    void closeLoop() {
        loop.close();
    }

    private static Runnable overflow() {
        return () -> overflow(0);
    }

    @SuppressWarnings("InfiniteRecursion")
    private static int overflow(int depth) {
        return overflow(depth + 1) + 1;
    }

    @Test
    void loopGoesOnAfterATaskThatFails() throws InterruptedException {
        CountDownLatch later = new CountDownLatch(1);
        loop.execute(overflow());
        loop.schedule(
                1,
                () -> {
                    throw new IllegalStateException("a task that fails");
                });
        loop.schedule(20, later::countDown);
        assertThat(later.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void errorOfATaskReachesTheHandlerOfUncaughtExceptions() throws InterruptedException {
        CountDownLatch uncaught = new CountDownLatch(1);
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> uncaught.countDown());
        try {
            loop.execute(
                    () -> {
                        throw new NoClassDefFoundError("lost");
                    });
            assertThat(uncaught.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }

    @Test
    void callerOfATaskThatEndsWithAnErrorDoesNotWaitForEver() {
        assertThatThrownBy(
                        () ->
                                loop.call(
                                        () -> {
                                            throw new NoClassDefFoundError("lost");
                                        }))
                .hasCauseInstanceOf(NoClassDefFoundError.class);
    }
}
