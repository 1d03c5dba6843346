package dev.jayturn.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class LinkLimiterTest {
    private static final double MEGABITS_PER_SECOND = 7;
    private static final int BYTES_PER_SECOND = 875_000;
    private static final int BODY_BYTES = 4_400;
    private static final int EVENTS_PER_REQUEST = 25;
    private static final int EVENT_BYTES = 90;
    private static final long EVENT_INTERVAL_MILLIS = 75;

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("p:1", time, new VirtualNetwork(time, new Random(1)));
    private final LinkLimiter link = new LinkLimiter(process, MEGABITS_PER_SECOND);
    private long sentBytes;
    private long receivedBytes;
    private int admitted;
    private int refused;

    private void send(LinkPeer peer, long bytes) {
        link.recordSent(peer, bytes);
        sentBytes += bytes;
    }

    private void receive(LinkPeer peer, long bytes) {
        link.recordReceived(peer, bytes);
        receivedBytes += bytes;
    }

    private void sendRequest() {
        receive(LinkPeer.CALLER, BODY_BYTES);
        if (!link.hasCapacity(true)) {
            refused++;
            return;
        }
        admitted++;
        send(LinkPeer.UPSTREAM, BODY_BYTES);
        for (int i = 1; i <= EVENTS_PER_REQUEST; i++) {
            time.schedule(
                    i * EVENT_INTERVAL_MILLIS,
                    () -> {
                        receive(LinkPeer.UPSTREAM, EVENT_BYTES);
                        send(LinkPeer.CALLER, EVENT_BYTES);
                    });
        }
    }

    private void sendRequests(int perSecond, int seconds) {
        for (int i = 0; i < perSecond * seconds; i++) {
            sendRequest();
            time.runFor(1_000 / perSecond);
        }
    }

    @Test
    void usualLoadIsAdmittedCompletely() {
        sendRequests(44, 10);
        assertThat(refused).isZero();
    }

    @Test
    void threeTimesTheUsualLoadStaysWithinTheLinkCapacity() {
        sendRequests(44, 5);
        sentBytes = 0;
        receivedBytes = 0;
        sendRequests(133, 6);
        // Refused requests are received but not forwarded, so more is received than sent.
        long busierBytesPerSecond = Math.max(sentBytes, receivedBytes) / 6;
        assertThat(busierBytesPerSecond).isBetween(600_000L, (long) BYTES_PER_SECOND);
        assertThat(refused).isPositive().isLessThan(admitted);
    }

    @Test
    void capacityIsFreeAgainWithinHalfASecond() {
        send(LinkPeer.CALLER, BYTES_PER_SECOND);
        assertThat(link.hasCapacity(false)).isFalse();
        time.runFor(500);
        assertThat(link.hasCapacity(true)).isTrue();
    }

    @Test
    void shortRequestsAreAdmittedAtHigherLoad() {
        send(LinkPeer.CALLER, (long) (0.85 * 0.4 * BYTES_PER_SECOND));
        assertThat(link.hasCapacity(true)).isFalse();
        assertThat(link.hasCapacity(false)).isTrue();
    }

    @Test
    void linkOfUnknownSpeedAlwaysHasCapacity() {
        LinkLimiter unknown = new LinkLimiter(process, 0);
        unknown.recordSent(LinkPeer.CALLER, Integer.MAX_VALUE);
        assertThat(unknown.hasCapacity(true)).isTrue();
    }
}
