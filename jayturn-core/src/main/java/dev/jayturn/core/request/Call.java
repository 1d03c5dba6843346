package dev.jayturn.core.request;

import dev.jayturn.core.budget.OpenIntent;
import dev.jayturn.core.chart.StateChart;
import dev.jayturn.core.chart.StateChartRun;
import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.control.ClaimCall;
import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.control.RecordOutcome;
import dev.jayturn.core.control.ReleaseClaim;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.result.NotRun;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.routing.RouteChoice;
import dev.jayturn.core.routing.RouteQuery;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * One call at its entry instance. Each attempt at an upstream has an intent of its own, which is
 * durable in a ledger before the first byte is sent. A call that may not repeat is claimed in the
 * control log before, and is never sent again once a byte may have reached an upstream.
 */
public final class Call {
    private static final StateChart CHART = StateChart.load("call");
    private static final long INTENT_WAIT_MILLIS = 1_000;
    private static final long CLAIM_WAIT_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 4;

    private final String callId;
    private final CallSpec spec;
    private final CallPort port;
    private final EntryNode entry;
    private final StateChartRun chartRun = new StateChartRun(CHART);
    private final Set<String> excludedUpstreams = new HashSet<>();
    private final Set<String> triedLedgers = new HashSet<>();
    private int attemptCount;
    private String intentId = "";
    private boolean mayHoldClaim;
    private boolean attemptMayHaveRun;
    private @Nullable Upstream upstream;

    Call(String callId, CallSpec spec, CallPort port, EntryNode entry) {
        this.callId = callId;
        this.spec = spec;
        this.port = port;
        this.entry = entry;
    }

    /** Returns the id that is unique in the fleet. */
    public String callId() {
        return callId;
    }

    /** Returns what the call asks for. */
    public CallSpec spec() {
        return spec;
    }

    void start() {
        if (spec.repeatable()) {
            chartRun.fire("open");
            openIntent();
            return;
        }
        chartRun.fire("claim");
        ClaimCall claim =
                new ClaimCall(
                        spec.principal().customer(),
                        spec.key(),
                        callId,
                        spec.fingerprint(),
                        spec.service(),
                        entry.nowMillis());
        entry.control().commit(claim, CLAIM_WAIT_MILLIS, this::onClaimAnswer);
    }

    private void onClaimAnswer(ControlOutcome outcome) {
        mayHoldClaim = outcome.code() == ResultCode.OK;
        if (outcome.code() == ResultCode.CONTROL_UNREACHABLE) {
            mayHoldClaim = true; // The claim may have been committed and must be released.
        }
        if (chartRun.isFinished()) {
            releaseClaim();
            return;
        }
        if (outcome.code() == ResultCode.OK) {
            chartRun.fire("granted");
            openIntent();
            return;
        }
        CallOutcome before = outcome.call();
        if (outcome.code() == ResultCode.OUTCOME_RECORDED && before != null) {
            chartRun.fire("replay");
            entry.logDecision(callId, "The recorded answer is replayed.");
            entry.onCallEnded(this);
            port.replay(before);
            return;
        }
        refuse(new Refusal(outcome.code(), notRunOf(outcome.code()), "", 0));
    }

    private static NotRun notRunOf(ResultCode code) {
        switch (code) {
            case CLAIM_IN_PROGRESS:
            case OUTCOME_UNKNOWN:
                return NotRun.UNKNOWN;
            case OUTCOME_NOT_KEPT:
                return NotRun.FALSE;
            default:
                return NotRun.TRUE;
        }
    }

    private void openIntent() {
        Either<ResultCode, RouteChoice> routed = entry.router().route(routeQuery());
        if (routed.isLeft()) {
            refuse(Refusal.notRun(routed.getLeft(), "service " + spec.service(), 1_000));
            return;
        }
        LedgerLink ledger = entry.ledgers().chooseLedger(triedLedgers);
        if (ledger == null) {
            refuse(Refusal.notRun(ResultCode.LEDGER_UNREACHABLE, "", 1_000));
            return;
        }
        RouteChoice choice = routed.get();
        Upstream chosen = choice.upstream();
        upstream = chosen;
        intentId = callId + "." + ++attemptCount;
        entry.logDecision(
                callId,
                String.format(
                        "Request %s goes to %s out of %d by %s as intent %s in %s.",
                        spec.requestId(),
                        chosen.id(),
                        choice.candidates(),
                        choice.reason(),
                        intentId,
                        ledger.ledger()));
        entry.ledgers().bind(intentId, ledger);
        String opened = intentId;
        ledger.open(draftIntent(chosen), code -> onIntentAnswer(opened, ledger, code));
    }

    private RouteQuery routeQuery() {
        return new RouteQuery(
                callId,
                spec.service(),
                spec.model(),
                spec.policy(),
                spec.prefixHash(),
                excludedUpstreams);
    }

    private OpenIntent draftIntent(Upstream chosen) {
        String key = spec.key().isEmpty() ? "" : spec.key() + "/" + spec.fingerprint();
        return new OpenIntent(
                intentId,
                spec.principal().customer(),
                spec.principal().budget(),
                spec.reserve(),
                "",
                0,
                chosen.address(),
                chosen.tombstones(),
                key,
                INTENT_WAIT_MILLIS);
    }

    private void onIntentAnswer(String opened, LedgerLink ledger, ResultCode code) {
        if (!opened.equals(intentId) || !chartRun.isIn("opening")) {
            entry.ledgers().settle(opened, 0);
            return;
        }
        if (code == ResultCode.OK) {
            dispatch();
            return;
        }
        entry.ledgers().unbind(opened);
        boolean otherLedger =
                code == ResultCode.LEDGER_UNREACHABLE || code == ResultCode.INSTANCE_SEALED;
        if (otherLedger && attemptCount < MAX_ATTEMPTS) {
            triedLedgers.add(ledger.ledger());
            chartRun.fire("reopen");
            openIntent();
            return;
        }
        refuse(Refusal.notRun(code, "budget " + spec.principal().budget()));
    }

    private void dispatch() {
        Upstream chosen = upstream;
        if (chosen == null) {
            throw new IllegalStateException("no upstream for " + intentId);
        }
        chartRun.fire("opened");
        entry.router().requestStarted(chosen.id());
        port.dispatch(intentId, chosen);
    }

    private void releaseUpstream(boolean good) {
        Upstream used = upstream;
        upstream = null;
        if (used == null) {
            return;
        }
        entry.router().requestFinished(used.id());
        if (good) {
            entry.breakers().recordSuccess(used.id());
        } else {
            entry.breakers().recordFailure(used.id());
            excludedUpstreams.add(used.id());
        }
    }

    /** Tells that the answer was whole; the tokens are billed and the outcome is recorded. */
    public void onCompleted(String ofIntent, long tokens, CallOutcome outcome) {
        if (!isCurrentIntent(ofIntent)) {
            return;
        }
        chartRun.fire("complete");
        releaseUpstream(true);
        settle(tokens);
        record(outcome);
        entry.onCallEnded(this);
    }

    /** Tells that no byte of the call reached the upstream. */
    public void onNotSent(String ofIntent, String detail) {
        if (!isCurrentIntent(ofIntent)) {
            return;
        }
        releaseUpstream(false);
        entry.logDecision(callId, "Intent " + ofIntent + " was not sent: " + detail + ".");
        retryOrRefuse(Refusal.notRun(ResultCode.UPSTREAM_FAILED, detail, 1_000));
    }

    /** Tells that the upstream refused the call before it ran any of it. */
    public void onUpstreamRefused(String ofIntent, String detail) {
        if (!isCurrentIntent(ofIntent)) {
            return;
        }
        Upstream used = upstream;
        releaseUpstream(true);
        if (used != null) {
            excludedUpstreams.add(used.id());
        }
        entry.logDecision(callId, "Intent " + ofIntent + " was refused: " + detail + ".");
        retryOrRefuse(Refusal.notRun(ResultCode.NO_UPSTREAM, detail, 1_000));
    }

    /**
     * Tells that the upstream failed after the call may have reached it.
     *
     * @param delivered whether a part of the answer has reached the caller
     * @param tokens tokens of the answer that the caller has, for the bill
     */
    public void onUpstreamFailed(String ofIntent, boolean delivered, long tokens, ResultCode code) {
        if (!isCurrentIntent(ofIntent)) {
            return;
        }
        releaseUpstream(false);
        entry.logDecision(callId, "Intent " + ofIntent + " broke: " + code.text() + ".");
        if (!spec.repeatable()) {
            settle(0);
            record(CallOutcome.withoutAnswer(CallOutcome.State.UNKNOWN));
            refuse(Refusal.executionUnknown(ResultCode.OUTCOME_UNKNOWN, code.text()));
            return;
        }
        attemptMayHaveRun = true;
        if (delivered) {
            settle(tokens);
            refuse(new Refusal(code, NotRun.FALSE, "", 0));
            return;
        }
        retryOrRefuse(Refusal.executionUnknown(code, ""));
    }

    private void retryOrRefuse(Refusal refusal) {
        settle(0);
        if (attemptCount < MAX_ATTEMPTS && entry.tryRetry()) {
            chartRun.fire("retry");
            openIntent();
            return;
        }
        refuse(refusal);
    }

    /**
     * Tells that the caller has gone.
     *
     * @param tokens tokens generated for it, for the bill
     */
    public void onCallerDisconnected(long tokens) {
        if (chartRun.isFinished()) {
            return;
        }
        boolean sent = chartRun.isIn("dispatched");
        boolean claiming = chartRun.isIn("claiming");
        chartRun.fire("gone");
        if (sent) {
            releaseUpstream(true);
            settle(tokens);
            record(CallOutcome.withoutAnswer(CallOutcome.State.UNKNOWN));
        } else {
            entry.ledgers().abandon(intentId);
            if (!claiming) {
                releaseClaim();
            }
        }
        entry.onCallEnded(this);
    }

    private boolean isCurrentIntent(String ofIntent) {
        return ofIntent.equals(intentId) && chartRun.isIn("dispatched");
    }

    private void settle(long tokens) {
        entry.ledgers().settle(intentId, tokens);
    }

    private void record(CallOutcome outcome) {
        if (mayHoldClaim) {
            mayHoldClaim = false;
            entry.control()
                    .commitWithoutDeadline(
                            new RecordOutcome(
                                    spec.principal().customer(), spec.key(), callId, outcome));
        }
    }

    private void releaseClaim() {
        if (mayHoldClaim) {
            mayHoldClaim = false;
            entry.control()
                    .commitWithoutDeadline(
                            new ReleaseClaim(spec.principal().customer(), spec.key(), callId));
        }
    }

    /** Refuses; once an attempt may have run, no refusal says that the call did not. */
    private void refuse(Refusal reason) {
        boolean doubtful = attemptMayHaveRun && reason.notRun() == NotRun.TRUE;
        Refusal refusal = doubtful ? reason.withExecutionUnknown() : reason;
        chartRun.fire("refuse");
        releaseClaim();
        entry.logDecision(callId, "Refused with " + refusal.code().number() + ".");
        entry.onCallEnded(this);
        port.refuse(refusal);
    }
}
