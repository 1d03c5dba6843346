package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.slice.SliceView;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.metrics.FleetMetrics;

/** The log lines of one request, which all bear its id, and what it adds to the metrics. */
final class ExchangeLog {
    private final EventLog log;
    private final FleetMetrics metrics;
    private final String requestId;
    private long firstByteMillis = -1;
    private long tokenWaitMillis;

    ExchangeLog(EventLog log, FleetMetrics metrics, String requestId) {
        this.log = log;
        this.metrics = metrics;
        this.requestId = requestId;
    }

    void logPlacement(Dispatcher.Decision decision, UpstreamLoad upstream, RequestProfile work) {
        log.event(
                "placement.chosen",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("upstream", upstream.heartbeat().id());
                    json.writeNumberField("expected", (long) decision.expectedMillis());
                    json.writeNumberField("candidates", decision.candidateCount());
                    json.writeStringField("affinity", work.affinityKey());
                    json.writeNumberField("shared", work.sharedPrefixTokens());
                    json.writeNumberField("held", upstream.sentPrefixTokens(work));
                    json.writeNumberField("inFlight", upstream.inFlight());
                    json.writeNumberField("waitingTokens", upstream.waitingTokens());
                });
    }

    void logTokenShortage(TokenReservation hold, String customer) {
        SliceView view = hold.sliceView();
        log.event(
                "budget.short",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("customer", customer);
                    json.writeNumberField("tokens", hold.tokens());
                    json.writeNumberField("free", view.free());
                    json.writeNumberField("belowMark", view.belowMark());
                    json.writeBooleanField("leased", view.limitedToMark());
                    json.writeBooleanField("inTouch", hold.isLeaderReachable());
                    json.writeNumberField("left", view.budgetRemaining());
                });
    }

    void logLinkFull(LinkLimiter link) {
        log.event(
                "link.full",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeNumberField("sentShare", link.sentShare());
                    json.writeNumberField("receivedShare", link.receivedShare());
                });
    }

    /** Notes that the tokens were held after a time in milliseconds. */
    void recordTokenWait(long afterMillis) {
        tokenWaitMillis = afterMillis;
    }

    void recordFirstByte(long afterMillis) {
        if (firstByteMillis < 0) {
            firstByteMillis = afterMillis;
        }
    }

    void logFailedAttempt(UpstreamLoad upstream, Attempt.Failure failure) {
        metrics.recordFailedAttempt(failure.name());
        log.event(
                "attempt.failed",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("upstream", upstream.heartbeat().id());
                    json.writeStringField("failure", failure.name());
                });
    }

    void logEnd(
            ResultCode code,
            String route,
            String customer,
            long tookMillis,
            int sends,
            long events) {
        metrics.recordAnswer(code, route, tookMillis);
        if (firstByteMillis >= 0) {
            metrics.recordTimeToFirstByte(route, firstByteMillis);
        }
        log.event(
                "request.ended",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeNumberField("code", code.number());
                    json.writeStringField("reason", code.text());
                    json.writeStringField("route", route);
                    json.writeStringField("customer", customer);
                    json.writeNumberField("sends", sends);
                    json.writeNumberField("waited", tokenWaitMillis);
                    json.writeNumberField("first", firstByteMillis);
                    json.writeNumberField("took", tookMillis);
                    json.writeNumberField("events", events);
                });
    }
}
