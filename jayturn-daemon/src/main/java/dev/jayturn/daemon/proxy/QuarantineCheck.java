package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.quarantine.CutOff;
import dev.jayturn.core.quarantine.Quarantine;
import dev.jayturn.core.result.ResultCode;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Passes one request and what becomes of it to the quarantine of requests that crash upstreams. */
final class QuarantineCheck {
    private final Quarantine quarantine;
    private final RequestProfile profile;
    private final RequestFingerprint fingerprint;
    private final Supplier<String> customer;

    /**
     * The reason of a refusal.
     *
     * @param retryMillis time after which a retry may be admitted
     */
    record Refusal(ResultCode code, long retryMillis) {}

    /**
     * Creates a check.
     *
     * @param customer returns the name of the request's customer; empty if it has none
     */
    QuarantineCheck(
            Quarantine quarantine,
            RequestProfile profile,
            RequestFingerprint fingerprint,
            Supplier<String> customer) {
        this.quarantine = quarantine;
        this.profile = profile;
        this.fingerprint = fingerprint;
        this.customer = customer;
    }

    /** Returns the fingerprint of the request. */
    String fingerprint() {
        return fingerprint.of(customer.get());
    }

    /** Returns why the request is refused; null if it is admitted. */
    @Nullable Refusal refusal() {
        if (!quarantine.hasCondemned()) {
            return null;
        }
        long partMillis = quarantine.refusalMillis(profile.partIds());
        if (partMillis > 0) {
            return new Refusal(ResultCode.PROMPT_QUARANTINED, partMillis);
        }
        long requestMillis = quarantine.refusalMillis(List.of(fingerprint()));
        return requestMillis > 0
                ? new Refusal(ResultCode.REQUEST_QUARANTINED, requestMillis)
                : null;
    }

    /** Records that the request is sent to an upstream. */
    void onSent() {
        if (quarantine.hasCondemned()) {
            quarantine.onSent(profile.partIds());
            quarantine.onSent(List.of(fingerprint()));
        }
    }

    /** Records a complete and successful response. */
    void onCompleted() {
        quarantine.onCompleted(profile.sharedPartIds());
        if (quarantine.hasEvidence()) {
            quarantine.onCompleted(List.of(fingerprint()));
            quarantine.clear(profile.ownPartIds());
        }
    }

    /**
     * Records that an upstream broke off the request, and returns whether another one may get it
     * without a risk that it crashes too.
     *
     * @param responseBegun whether a response had begun
     * @param beforeAnEvent whether a response had begun, without an event
     * @param ranMillis time since the response began, or since the request was sent if it did not
     * @param sentMillis time when the request was sent
     */
    boolean onCutOff(
            String upstream,
            boolean responseBegun,
            boolean beforeAnEvent,
            long ranMillis,
            long sentMillis) {
        return quarantine.onCutOff(
                new CutOff(
                        fingerprint(),
                        profile.sharedPartIds(),
                        profile.ownPartIds(),
                        upstream,
                        responseBegun,
                        beforeAnEvent,
                        ranMillis,
                        sentMillis));
    }
}
