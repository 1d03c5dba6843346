package dev.jayturn.daemon.loop;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class LoopDelayMeterTest {
    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("p", time, new VirtualNetwork(time, new Random(1)));
    private final List<Long> longDelays = new ArrayList<>();
    private final LoopDelayMeter meter =
            new LoopDelayMeter(process, process::nowMillis, longDelays::add);

    @Test
    void loopThatIsHeldUpIsMeasuredAndReportedOnce() {
        time.runFor(1_000);
        assertThat(meter.maxDelayMillis()).isZero();
        process.pause(1_000);
        time.runFor(5_000);
        assertThat(meter.maxDelayMillis()).isBetween(800L, 1_000L);
        assertThat(longDelays).hasSize(1);
    }

    @Test
    void delayIsForgottenAfterTwoWindows() {
        process.pause(300);
        time.runFor(9_000);
        assertThat(meter.maxDelayMillis()).isPositive();
        time.runFor(20_000);
        assertThat(meter.maxDelayMillis()).isZero();
        assertThat(longDelays).isEmpty();
    }
}
