package dev.jayturn.daemon.metrics;

import dev.jayturn.core.result.ResultCode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Counters and latency histograms of a fleet process. Used on its event loop only. */
public final class FleetMetrics {
    private static final String MEMORY_REJECTIONS = "jayturn.requests.rejected.memory";

    /** Upper bounds of the buckets, from a short cached answer up to the longest deadline. */
    private static final Duration[] BUCKET_BOUNDS = {
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(400),
        Duration.ofMillis(800),
        Duration.ofMillis(1_600),
        Duration.ofMillis(3_200),
        Duration.ofMillis(6_400),
        Duration.ofMillis(15_000)
    };

    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Counter> counters = new HashMap<>();
    private final Map<String, Timer> timers = new HashMap<>();

    /** Records an answered request by result code and route; the route may be empty. */
    public void recordAnswer(ResultCode code, String route, long durationMillis) {
        String number = String.valueOf(code.number());
        timers.computeIfAbsent(
                        number + ' ' + route,
                        k -> timer("jayturn.request", "code", number, "route", route))
                .record(durationMillis, TimeUnit.MILLISECONDS);
    }

    /** Records the time from the start of a request to the first byte of its answer. */
    public void recordTimeToFirstByte(String route, long durationMillis) {
        timers.computeIfAbsent(
                        "first " + route, key -> timer("jayturn.request.first", "route", route))
                .record(durationMillis, TimeUnit.MILLISECONDS);
    }

    /** Counts an attempt at an upstream that produced no answer for the caller. */
    public void recordFailedAttempt(String failure) {
        count("jayturn.attempts.failed", "failure", failure, 1);
    }

    /** Counts a response of an upstream that was not accepted to its end, by its fault. */
    public void recordRefusedResponse(String fault) {
        count("jayturn.responses.refused", "fault", fault, 1);
    }

    /** Counts a request that was sent to one more upstream, by the failure that caused it. */
    public void recordRepeatedSend(String cause) {
        count("jayturn.sends.repeated", "cause", cause, 1);
    }

    /** Counts a request that was not read because of a lack of memory. */
    public void recordMemoryRejection() {
        counters.computeIfAbsent(MEMORY_REJECTIONS, key -> registry.counter(MEMORY_REJECTIONS))
                .increment();
    }

    /**
     * Counts a request that was refused because of its head's memory, by the address it came to.
     */
    public void recordRefusedHead(String part) {
        count("jayturn.heads.refused", "part", part, 1);
    }

    /** Counts a request that was refused to leave a part of the link to others, by its priority. */
    public void recordReserved(int priority) {
        count("jayturn.link.reserved", "priority", String.valueOf(priority), 1);
    }

    /** Counts a message sent to another instance, by message type. */
    public void recordSentMessage(String messageType, int bytes) {
        count("jayturn.link.sent.messages", "message", messageType, 1);
        count("jayturn.link.sent.bytes", "message", messageType, bytes);
    }

    /** Counts a message received from another instance, by message type. */
    public void recordReceivedMessage(String messageType, int bytes) {
        count("jayturn.link.received.messages", "message", messageType, 1);
        count("jayturn.link.received.bytes", "message", messageType, bytes);
    }

    /** Counts a message that was received and not handled, by the reason. */
    public void recordFailedMessage(String failure) {
        count("jayturn.link.messages.failed", "failure", failure, 1);
    }

    /** Counts a configuration that an entry instance could not apply. */
    public void recordUnappliedConfiguration() {
        registry.counter("jayturn.configuration.unapplied").increment();
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }

    private void count(String name, String tag, String value, double amount) {
        counters.computeIfAbsent(name + ' ' + value, key -> registry.counter(name, tag, value))
                .increment(amount);
    }

    private Timer timer(String name, String... tags) {
        return Timer.builder(name)
                .tags(tags)
                .serviceLevelObjectives(BUCKET_BOUNDS)
                .register(registry);
    }
}
