package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.limits.LinkPeer;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.StreamOrigin;
import dev.jayturn.core.slice.SliceView;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.metrics.FleetMetrics;
import dev.jayturn.daemon.upstream.ResponseFault;
import org.jspecify.annotations.Nullable;

/**
 * Writes the log events of one request, which all contain its id, and updates the metrics. For the
 * free tokens and the mark of a slice see {@link SliceView}.
 */
final class ExchangeLog {
    private final EventLog log;
    private final FleetMetrics metrics;
    private final CustomerOutcomes customerOutcomes;
    private final String requestId;
    private long firstByteMillis = -1;
    private long tokenWaitMillis;

    ExchangeLog(Forwarder forwarder, String requestId) {
        this.log = forwarder.log();
        this.metrics = forwarder.metrics();
        this.customerOutcomes = forwarder.customerOutcomes();
        this.requestId = requestId;
    }

    void logPlacement(Dispatcher.Decision decision, UpstreamLoad upstream, CallerRequest request) {
        RequestProfile profile = request.profile();
        log.event(
                "placement.chosen",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("upstream", upstream.heartbeat().id());
                    json.writeStringField("version", upstream.heartbeat().softwareVersion());
                    if (!request.lastEventId().isEmpty()) {
                        json.writeStringField("resumes", request.resumedRequestId());
                    }
                    json.writeNumberField("expected", (long) decision.expectedMillis());
                    json.writeNumberField("candidates", decision.candidateCount());
                    json.writeStringField("affinity", profile.affinityKey());
                    json.writeNumberField("shared", profile.sharedPrefixTokens());
                    json.writeNumberField("held", upstream.sentPrefixTokens(profile));
                    json.writeNumberField("inFlight", upstream.inFlight());
                    json.writeNumberField("waitingTokens", upstream.waitingTokens());
                });
    }

    void logResumption(CallerRequest request, StreamOrigin origin, long waitedMillis) {
        log.event(
                "stream.resumed",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("resumes", request.resumedRequestId());
                    json.writeStringField("service", origin.service());
                    json.writeStringField("version", origin.softwareVersion());
                    json.writeNumberField("waited", waitedMillis);
                });
    }

    void logUnknownStream(CallerRequest request, boolean isCertain, long waitedMillis) {
        log.event(
                "stream.unknown",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("resumes", request.resumedRequestId());
                    json.writeBooleanField("certain", isCertain);
                    json.writeNumberField("waited", waitedMillis);
                });
    }

    void logTokenShortage(TokenReservation reservation, String customer) {
        SliceView view = reservation.sliceView();
        log.event(
                "budget.short",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("customer", customer);
                    json.writeNumberField("tokens", reservation.tokens());
                    json.writeNumberField("free", view.free());
                    json.writeNumberField("belowMark", view.belowMark());
                    json.writeBooleanField("leased", view.limitedToMark());
                    json.writeBooleanField("inTouch", reservation.isLeaderReachable());
                    json.writeNumberField("left", view.budgetRemaining());
                });
    }

    void logLinkFull(LinkLimiter limiter, String customer, int bodyBytes) {
        log.event(
                "link.full",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("customer", customer);
                    json.writeNumberField("body", bodyBytes);
                    json.writeNumberField("sentShare", limiter.sentShare());
                    json.writeNumberField("receivedShare", limiter.receivedShare());
                    json.writeNumberField(
                            "receivedFromCallers", limiter.receivedShare(LinkPeer.CALLER));
                    json.writeNumberField(
                            "receivedFromUpstreams", limiter.receivedShare(LinkPeer.UPSTREAM));
                });
    }

    /** Records the time from the receipt of the request until its tokens were reserved. */
    void recordTokenWait(long elapsedMillis) {
        tokenWaitMillis = elapsedMillis;
    }

    /** Records the time until the first response head; later calls have no effect. */
    void recordFirstByte(long elapsedMillis) {
        if (firstByteMillis < 0) {
            firstByteMillis = elapsedMillis;
        }
    }

    /**
     * Counts a send beyond the first by the failure that caused it, which is null for the first.
     */
    void recordSend(Attempt.@Nullable Failure cause) {
        if (cause != null) {
            metrics.recordRepeatedSend(cause.name());
        }
    }

    void logFailedAttempt(
            Attempt attempt,
            Attempt.Failure failure,
            long eventCount,
            RequestProfile profile,
            String fingerprint) {
        metrics.recordFailedAttempt(failure.name());
        UpstreamConnection connection = attempt.connection();
        if (connection != null && connection.fault() != ResponseFault.NONE) {
            metrics.recordRefusedResponse(connection.fault().name());
        }
        log.event(
                "attempt.failed",
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeStringField("upstream", attempt.upstream().heartbeat().id());
                    json.writeStringField("failure", failure.name());
                    json.writeStringField("fingerprint", fingerprint);
                    json.writeNumberField("ran", attempt.ranMillis());
                    if (connection != null) {
                        json.writeStringField("fault", connection.fault().name());
                        json.writeStringField("framing", connection.framing().name());
                        json.writeBooleanField("identified", connection.isIdentified());
                        json.writeNumberField("carried", connection.earlierRequests());
                    }
                    json.writeBooleanField("responded", attempt.hasResponded());
                    json.writeNumberField("events", eventCount);
                    json.writeArrayFieldStart("parts");
                    for (String part : profile.partIds()) {
                        json.writeString(part);
                    }
                    json.writeEndArray();
                });
    }

    void logEnd(
            ResultCode code,
            String route,
            String customer,
            long durationMillis,
            int sendCount,
            long eventCount) {
        metrics.recordAnswer(code, route, durationMillis);
        customerOutcomes.record(customer, code);
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
                    json.writeNumberField("sends", sendCount);
                    json.writeNumberField("waited", tokenWaitMillis);
                    json.writeNumberField("first", firstByteMillis);
                    json.writeNumberField("took", durationMillis);
                    json.writeNumberField("events", eventCount);
                });
    }
}
