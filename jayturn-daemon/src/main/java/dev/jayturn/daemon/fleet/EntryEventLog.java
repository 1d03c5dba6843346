package dev.jayturn.daemon.fleet;

import dev.jayturn.core.quarantine.QuarantineListener;
import dev.jayturn.core.ratelimit.RateLimitListener;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.proxy.RequestFingerprint;
import java.util.List;

/** Logs what an entry instance learns about upstreams and about requests that crash them. */
final class EntryEventLog implements QuarantineListener, RateLimitListener {
    private final EventLog log;

    EntryEventLog(EventLog log) {
        this.log = log;
    }

    @Override
    public void onQuarantined(String suspect, int ends) {
        boolean isRequest = RequestFingerprint.isFingerprint(suspect);
        log.event(
                isRequest ? "request.quarantined" : "prompt.quarantined",
                json -> {
                    json.writeStringField(isRequest ? "fingerprint" : "part", suspect);
                    json.writeNumberField("ends", ends);
                });
    }

    @Override
    public void onRateLimit(String upstream, double rate, long ageMillis) {
        boolean limited = rate < Double.POSITIVE_INFINITY;
        log.event(
                "upstream.limit.changed",
                json -> {
                    json.writeStringField("upstream", upstream);
                    json.writeBooleanField("limited", limited);
                    if (limited) {
                        json.writeNumberField("perSecond", rate);
                    }
                    json.writeNumberField("age", ageMillis);
                });
    }

    @Override
    public void onReleased(String suspect) {
        boolean isRequest = RequestFingerprint.isFingerprint(suspect);
        log.event(
                isRequest ? "request.released" : "prompt.released",
                json -> json.writeStringField(isRequest ? "fingerprint" : "part", suspect));
    }

    void onEmptied(long revision, List<String> dataCentres) {
        log.event(
                "evacuation.applied",
                json -> {
                    json.writeNumberField("revision", revision);
                    json.writeStringField("dataCentres", String.join(",", dataCentres));
                });
    }

    void onCold(String upstream, long remainingMillis) {
        log.event(
                "upstream.cold",
                json -> {
                    json.writeStringField("upstream", upstream);
                    json.writeNumberField("remaining", remainingMillis);
                });
    }
}
