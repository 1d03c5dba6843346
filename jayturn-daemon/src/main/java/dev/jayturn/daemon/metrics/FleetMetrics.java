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

/** Counters and latency histograms of a fleet's process; used on its event loop only. */
public final class FleetMetrics {
    /** Bounds of the histograms, from a cached short answer to the longest deadline. */
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

    /** Notes an answered request: its outcome, and its route or an empty name. */
    public void recordAnswer(ResultCode code, String route, long tookMillis) {
        String number = String.valueOf(code.number());
        timers.computeIfAbsent(
                        number + ' ' + route,
                        k -> timer("jayturn.request", "code", number, "route", route))
                .record(tookMillis, TimeUnit.MILLISECONDS);
    }

    /** Notes the time from a request to the first byte of its answer. */
    public void recordTimeToFirstByte(String route, long afterMillis) {
        timers.computeIfAbsent(
                        "first " + route, k -> timer("jayturn.request.first", "route", route))
                .record(afterMillis, TimeUnit.MILLISECONDS);
    }

    /** Counts an attempt at an upstream that gave no answer for the caller. */
    public void recordFailedAttempt(String failure) {
        count("jayturn.attempts.failed", "failure", failure, 1);
    }

    /** Counts a message to another instance. */
    public void recordSentMessage(String message, int bytes) {
        count("jayturn.link.sent.messages", "message", message, 1);
        count("jayturn.link.sent.bytes", "message", message, bytes);
    }

    /** Counts a message from another instance. */
    public void recordReceivedMessage(String message, int bytes) {
        count("jayturn.link.received.messages", "message", message, 1);
        count("jayturn.link.received.bytes", "message", message, bytes);
    }

    /** Has a value read whenever metrics are asked for. */
    public void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Returns everything in the text format of Prometheus. */
    public String scrape() {
        return registry.scrape();
    }

    private void count(String name, String tag, String value, double amount) {
        counters.computeIfAbsent(name + ' ' + value, k -> registry.counter(name, tag, value))
                .increment(amount);
    }

    private Timer timer(String name, String... tags) {
        return Timer.builder(name)
                .tags(tags)
                .serviceLevelObjectives(BUCKET_BOUNDS)
                .register(registry);
    }
}
