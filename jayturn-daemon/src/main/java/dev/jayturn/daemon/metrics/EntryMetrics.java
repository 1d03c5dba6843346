package dev.jayturn.daemon.metrics;

import dev.jayturn.core.result.ResultCode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counters and timers of the calls at an entry instance. */
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

    /** Counts an answer by its code. */
    public void recordAnswer(ResultCode code) {
        Counter counter = answersByCode.get(code);
        if (counter != null) {
            counter.increment();
        }
    }

    /** Counts tokens passed on to callers. */
    public void recordRelayedTokens(int count) {
        relayedTokens.increment(count);
    }

    /** Counts an answer or event that belonged to another request. */
    public void recordMisdirectedAnswer() {
        misdirectedAnswers.increment();
    }

    /** Counts a stream that was resumed after its connection broke. */
    public void recordResumedStream() {
        resumedStreams.increment();
    }

    /** Notes the time from a request to its first token. */
    public void recordTimeToFirstToken(long nanos) {
        timeToFirstToken.record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Notes the time from a request to its dispatch. */
    public void recordTimeToDispatch(long nanos) {
        timeToDispatch.record(nanos, TimeUnit.NANOSECONDS);
    }
}
