package dev.jayturn.daemon.metrics;

import dev.jayturn.core.result.ResultCode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counters and timers for the calls of an entry instance. */
public final class EntryMetrics {
    private static final double[] PERCENTILES = {0.5, 0.95, 0.99};

    private final Map<ResultCode, Counter> answersByCode = new EnumMap<>(ResultCode.class);
    private final Counter relayedTokens;
    private final Counter misdirectedAnswers;
    private final Counter resumedStreams;
    private final Timer timeToFirstToken;
    private final Timer timeToDispatch;

    /** Registers the meters. */
    public EntryMetrics(MeterRegistry registry) {
        for (ResultCode code : ResultCode.values()) {
            answersByCode.put(
                    code,
                    Counter.builder("jayturn.answers")
                            .tag("code", String.valueOf(code.number()))
                            .register(registry));
        }
        relayedTokens = registry.counter("jayturn.tokens.relayed");
        misdirectedAnswers = registry.counter("jayturn.answers.crossed");
        resumedStreams = registry.counter("jayturn.streams.resumed");
        timeToFirstToken = timer(registry, "jayturn.first.token");
        timeToDispatch = timer(registry, "jayturn.before.dispatch");
    }

    private static Timer timer(MeterRegistry registry, String name) {
        return Timer.builder(name)
                .publishPercentiles(PERCENTILES)
                .distributionStatisticExpiry(Duration.ofMinutes(1))
                .register(registry);
    }

    /** Counts an answer to a caller, by result code. */
    public void recordAnswer(ResultCode code) {
        Counter counter = answersByCode.get(code);
        if (counter != null) {
            counter.increment();
        }
    }

    /** Counts tokens relayed to callers. */
    public void recordRelayedTokens(int count) {
        relayedTokens.increment(count);
    }

    /** Counts an upstream's answer or stream event that belongs to another request. */
    public void recordMisdirectedAnswer() {
        misdirectedAnswers.increment();
    }

    /** Counts an attempt to resume a stream after its connection to the upstream failed. */
    public void recordResumedStream() {
        resumedStreams.increment();
    }

    /** Records the time from the start of a request to its first token. */
    public void recordTimeToFirstToken(long nanos) {
        timeToFirstToken.record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Records the time from the start of a request to its dispatch to an upstream. */
    public void recordTimeToDispatch(long nanos) {
        timeToDispatch.record(nanos, TimeUnit.NANOSECONDS);
    }
}
