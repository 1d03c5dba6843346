package dev.jayturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusing a customer whose callers are all connected to one instance while the
 * upstreams have connections left.
 */
final class ConnectionShareTest {
    private static final int LIMIT = 360;
    private static final int CUSTOMERS = 24;
    private static final double SIZE_EXPONENT = 1.2;
    private static final long CALL_MILLIS = 1_500;
    private static final long RUN_MILLIS = 20_000;

    /** A customer is starved if its share of served requests is below this part of everybody's. */
    private static final double STARVED_BELOW = 0.25;

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(1);
    private final List<Instance> instances = new ArrayList<>();
    private final long[] sent = new long[CUSTOMERS];
    private final long[] served = new long[CUSTOMERS];
    private int open;
    private int mostOpen;

    private static final class Instance {
        int inFlight;
    }

    private void call(int customer) {
        sent[customer]++;
        Instance instance = instances.get(customer % instances.size());
        if (instance.inFlight >= ConnectionShare.equalPart(LIMIT, instances.size())) {
            return;
        }
        served[customer]++;
        instance.inFlight++;
        mostOpen = Math.max(mostOpen, ++open);
        time.schedule(
                CALL_MILLIS,
                () -> {
                    instance.inFlight--;
                    open--;
                });
    }

    private void scheduleCalls(int customer, double perSecond) {
        long intervalMillis = Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
        time.schedule(
                intervalMillis,
                () -> {
                    call(customer);
                    scheduleCalls(customer, perSecond);
                });
    }

    private double share(int customer) {
        return sent[customer] == 0 ? 1 : (double) served[customer] / sent[customer];
    }

    @Tag("known-red")
    @ParameterizedTest(name = "{0} instances, {1} requests of the largest customer in flight")
    @CsvSource({"3, 150", "6, 150", "7, 150", "17, 150", "6, 300", "17, 300", "17, 1000"})
    void upstreamsWithConnectionsLeftServeTheCustomerOfOneInstance(int count, int inFlight) {
        for (int i = 0; i < count; i++) {
            instances.add(new Instance());
        }
        double largestPerSecond = inFlight * 1_000.0 / CALL_MILLIS;
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            scheduleCalls(customer, largestPerSecond / Math.pow(customer + 1, SIZE_EXPONENT));
        }
        time.runFor(RUN_MILLIS);
        double allSent = 0;
        double allServed = 0;
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            allSent += sent[customer];
            allServed += served[customer];
        }
        assertThat(mostOpen).isLessThanOrEqualTo(LIMIT);
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            assertThat(share(customer))
                    .as("share served of customer %d", customer)
                    .isGreaterThanOrEqualTo(STARVED_BELOW * allServed / allSent);
        }
    }
}
