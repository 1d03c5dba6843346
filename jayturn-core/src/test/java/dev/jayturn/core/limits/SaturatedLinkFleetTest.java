package dev.jayturn.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against starving a customer whose callers are all connected to one instance and whose
 * request bodies nearly fill the receiving side of its link.
 */
final class SaturatedLinkFleetTest {
    private static final int CUSTOMERS = 24;
    private static final double SIZE_EXPONENT = 1.2;
    private static final double MEGABITS_PER_SECOND = 7;
    private static final double BYTES_PER_SECOND = 875_000;
    private static final int BODY_BYTES = 12_000;
    private static final int EVENTS = 48;
    private static final int EVENT_BYTES = 90;
    private static final long EVENT_INTERVAL_MILLIS = 40;
    private static final long FIRST_EVENT_MILLIS = 300;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final long RETRY_AFTER_MILLIS = 50;
    private static final long RUN_MILLIS = 34_000;

    /** A customer is starved if its share of served requests is below this part of everybody's. */
    private static final double STARVED_BELOW = 0.25;

    private final VirtualTime time = new VirtualTime();
    private final List<Instance> instances = new ArrayList<>();
    private final long[] sent = new long[CUSTOMERS];
    private final long[] served = new long[CUSTOMERS];

    private final class Instance {
        final VirtualLink receiving = new VirtualLink(time, BYTES_PER_SECOND);
        final VirtualLink sending = new VirtualLink(time, BYTES_PER_SECOND);
        final LinkLimiter limiter;

        Instance(int number) {
            VirtualProcess process =
                    new VirtualProcess(
                            "entry-" + number, time, new VirtualNetwork(time, new Random(1)));
            limiter = new LinkLimiter(process, MEGABITS_PER_SECOND);
        }
    }

    private final class Request {
        final int customer;
        final Instance instance;
        final long deadlineMillis = time.nowMillis() + DEADLINE_MILLIS;
        boolean isRetry;
        int eventsLeft = EVENTS;

        Request(int customer) {
            this.customer = customer;
            this.instance = instances.get(customer % instances.size());
            sent[customer]++;
        }

        void send() {
            instance.receiving.transfer(BODY_BYTES, this::onBody);
        }

        private void onBody() {
            instance.limiter.recordReceived(LinkPeer.CALLER, BODY_BYTES);
            if (instance.limiter.hasCapacity(true)) {
                instance.limiter.recordSent(LinkPeer.UPSTREAM, BODY_BYTES);
                instance.sending.transfer(BODY_BYTES, this::onForwarded);
            } else if (!isRetry) {
                isRetry = true;
                time.schedule(RETRY_AFTER_MILLIS, this::send);
            }
        }

        private void onForwarded() {
            for (int i = 0; i < EVENTS; i++) {
                time.schedule(
                        FIRST_EVENT_MILLIS + i * EVENT_INTERVAL_MILLIS,
                        () -> instance.receiving.transfer(EVENT_BYTES, this::onEvent));
            }
        }

        private void onEvent() {
            instance.limiter.recordReceived(LinkPeer.UPSTREAM, EVENT_BYTES);
            instance.limiter.recordSent(LinkPeer.CALLER, EVENT_BYTES);
            instance.sending.transfer(EVENT_BYTES, this::onEventDelivered);
        }

        private void onEventDelivered() {
            if (--eventsLeft == 0 && time.nowMillis() <= deadlineMillis) {
                served[customer]++;
            }
        }
    }

    private void scheduleRequests(int customer, double perSecond) {
        double intervalMillis = 1_000 / perSecond;
        for (double at = intervalMillis / 2; at < RUN_MILLIS; at += intervalMillis) {
            time.schedule((long) at, () -> new Request(customer).send());
        }
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 1 : (double) part / whole;
    }

    @ParameterizedTest(name = "{0} instances, bodies of the largest customer fill {1} of a link")
    @CsvSource({
        "6, 0.5", "6, 0.7", "6, 0.87", "6, 0.95", "6, 1.2",
        "30, 0.5", "30, 0.7", "30, 0.87", "30, 0.95", "30, 1.2",
        "80, 0.5", "80, 0.7", "80, 0.87", "80, 0.95", "80, 1.2"
    })
    void noCustomerIsStarvedByTheBodiesOfItsOwnRefusedRequests(int count, double bodyShare) {
        for (int i = 0; i < count; i++) {
            instances.add(new Instance(i));
        }
        double largestPerSecond = bodyShare * BYTES_PER_SECOND / BODY_BYTES;
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            scheduleRequests(customer, largestPerSecond / Math.pow(customer + 1, SIZE_EXPONENT));
        }
        time.runFor(RUN_MILLIS + DEADLINE_MILLIS);
        long allSent = 0;
        long allServed = 0;
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            allSent += sent[customer];
            allServed += served[customer];
        }
        double all = share(allServed, allSent);
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            assertThat(share(served[customer], sent[customer]))
                    .as("share served of customer %d, of all %.2f", customer, all)
                    .isGreaterThanOrEqualTo(STARVED_BELOW * all);
        }
    }
}
