package dev.jayturn.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.control.ControlAnswer;
import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.control.ControlRequest;
import dev.jayturn.core.control.ReleaseClaim;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ControlClientTest {
    private static final int COMMANDS = 600;
    private static final long CUT_MILLIS = 60_000;

    private final VirtualTime time = new VirtualTime();
    private final List<ControlRequest> sent = new ArrayList<>();
    private final ControlClient client =
            new ControlClient(
                    "e1",
                    1,
                    List.of("c1", "c2", "c3"),
                    (to, message) -> record(message),
                    new VirtualTimers(),
                    new SeededRandom(new Random(1)));
    private boolean connected;

    private final class VirtualTimers implements TimerService {
        @Override
        public long nowMillis() {
            return time.nowMillis();
        }

        @Override
        public Cancellable schedule(long delayMillis, Runnable task) {
            time.schedule(delayMillis, task);
            return () -> {};
        }
    }

    private void record(Message message) {
        ControlRequest request = (ControlRequest) message;
        sent.add(request);
        if (connected) {
            time.schedule(
                    5,
                    () ->
                            client.handle(
                                    new ControlAnswer(
                                            request.requestId(),
                                            ControlOutcome.of(ResultCode.OK, 1))));
        }
    }

    @Test
    void commandsThatAddUpDuringACutAreRetriedAtABoundedRate() {
        for (int i = 0; i < COMMANDS; i++) {
            client.commitWithoutDeadline(new ReleaseClaim("roy", "key-" + i, "call-" + i));
            time.runFor(CUT_MILLIS / COMMANDS);
        }
        // One first send each, and 20 retries within 300 ms.
        assertThat(sent.size()).isLessThanOrEqualTo(COMMANDS + (int) (CUT_MILLIS / 300 + 1) * 20);
        connected = true;
        sent.clear();
        time.runFor(CUT_MILLIS);
        Set<String> ids = new HashSet<>();
        sent.forEach(request -> ids.add(request.requestId()));
        assertThat(ids).hasSize(COMMANDS);
        assertThat(sent).hasSize(COMMANDS);
    }

    @Test
    void retriesOfOneCommandBecomeRarerDuringACut() {
        client.commitWithoutDeadline(new ReleaseClaim("roy", "key", "call"));
        time.runFor(CUT_MILLIS);
        assertThat(sent).hasSizeBetween(10, 20);
    }

    @Test
    void unansweredCommandEndsAtItsDeadline() {
        List<ResultCode> codes = new ArrayList<>();
        client.commit(
                new ReleaseClaim("roy", "key", "call"), 700, outcome -> codes.add(outcome.code()));
        time.runFor(699);
        assertThat(codes).isEmpty();
        time.runFor(2);
        assertThat(codes).containsExactly(ResultCode.CONTROL_UNREACHABLE);
    }
}
