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
 * A client call at its entry instance. Each attempt at an upstream has its own intent, which is
 * durable in a ledger before the first byte is sent. A call that is not repeatable is claimed in
 * the control log first, and is never retried once a byte may have reached an upstream. Events of
 * an attempt that is no longer the current one are ignored.
 */
public final class Call {
    /** The resource charts/call.chart, which defines the states and events that are named below. */
    private static final StateChart CHART = StateChart.load("call");

    private static final long INTENT_WAIT_MILLIS = 1_000;
    private static final long CLAIM_WAIT_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 4;
    private static final long RETRY_AFTER_MILLIS = 1_000;

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

    /** Returns the id of the call, unique in the fleet. */
    public String callId() {
        return callId;
    }

    /** Returns the parameters of the call. */
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
        CallOutcome recorded = outcome.call();
        if (outcome.code() == ResultCode.OUTCOME_RECORDED && recorded != null) {
            chartRun.fire("replay");
            entry.logDecision(callId, "Replaying the recorded answer.");
            entry.onCallEnded(this);
            port.replay(recorded);
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
            refuse(
                    Refusal.notRun(
                            routed.getLeft(), "service " + spec.service(), RETRY_AFTER_MILLIS));
            return;
        }
        LedgerLink ledger = entry.ledgers().chooseLedger(triedLedgers);
        if (ledger == null) {
            refuse(Refusal.notRun(ResultCode.LEDGER_UNREACHABLE, "", RETRY_AFTER_MILLIS));
            return;
        }
        RouteChoice choice = routed.get();
        Upstream chosen = choice.upstream();
        upstream = chosen;
        intentId = callId + "." + ++attemptCount;
        entry.logDecision(
                callId,
                String.format(
                        "Routing request %s to %s (%d candidates, %s); opening intent %s in %s.",
                        spec.requestId(),
                        chosen.id(),
                        choice.candidates(),
                        choice.reason(),
                        intentId,
                        ledger.ledger()));
        entry.ledgers().bind(intentId, ledger);
        String pendingIntent = intentId;
        ledger.open(draftIntent(chosen), code -> onIntentAnswer(pendingIntent, ledger, code));
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

    private void onIntentAnswer(String attemptIntentId, LedgerLink ledger, ResultCode code) {
        if (!attemptIntentId.equals(intentId) || !chartRun.isIn("opening")) {
            entry.ledgers().settle(attemptIntentId, 0);
            return;
        }
        if (code == ResultCode.OK) {
            dispatch();
            return;
        }
        entry.ledgers().unbind(attemptIntentId);
        boolean canUseOtherLedger =
                code == ResultCode.LEDGER_UNREACHABLE || code == ResultCode.INSTANCE_SEALED;
        if (canUseOtherLedger && attemptCount < MAX_ATTEMPTS) {
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

    private void releaseUpstream(boolean healthy) {
        Upstream used = upstream;
        upstream = null;
        if (used == null) {
            return;
        }
        entry.router().requestFinished(used.id());
        if (healthy) {
            entry.breakers().recordSuccess(used.id());
        } else {
            entry.breakers().recordFailure(used.id());
            excludedUpstreams.add(used.id());
        }
    }

    /**
     * Handles a complete answer: bills its tokens and records the outcome.
     *
     * @param tokens tokens of the answer
     */
    public void onCompleted(String attemptIntentId, long tokens, CallOutcome outcome) {
        if (!isCurrentIntent(attemptIntentId)) {
            return;
        }
        chartRun.fire("complete");
        releaseUpstream(true);
        settle(tokens);
        record(outcome);
        entry.onCallEnded(this);
    }

    /** Handles a failure before any byte of the call reached the upstream. */
    public void onNotSent(String attemptIntentId, String detail) {
        if (!isCurrentIntent(attemptIntentId)) {
            return;
        }
        releaseUpstream(false);
        entry.logDecision(callId, "Intent " + attemptIntentId + " was not sent: " + detail + ".");
        retryOrRefuse(Refusal.notRun(ResultCode.UPSTREAM_FAILED, detail, RETRY_AFTER_MILLIS));
    }

    /** Handles a refusal by the upstream, which did not run any part of the call. */
    public void onUpstreamRefused(String attemptIntentId, String detail) {
        if (!isCurrentIntent(attemptIntentId)) {
            return;
        }
        Upstream used = upstream;
        releaseUpstream(true);
        if (used != null) {
            excludedUpstreams.add(used.id());
        }
        entry.logDecision(
                callId,
                "Intent " + attemptIntentId + " was refused by the upstream: " + detail + ".");
        retryOrRefuse(Refusal.notRun(ResultCode.NO_UPSTREAM, detail, RETRY_AFTER_MILLIS));
    }

    /**
     * Handles a failure of the upstream after the call may have reached it. The intent of a call
     * that is not repeatable is settled with 0 tokens, and the outcome is recorded as unknown.
     *
     * @param delivered whether a part of the answer was sent to the caller
     * @param tokens tokens of the answer that were sent to the caller, for the bill of a repeatable
     *     call
     */
    public void onUpstreamFailed(
            String attemptIntentId, boolean delivered, long tokens, ResultCode code) {
        if (!isCurrentIntent(attemptIntentId)) {
            return;
        }
        releaseUpstream(false);
        entry.logDecision(
                callId,
                "Intent " + attemptIntentId + " failed at the upstream: " + code.text() + ".");
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
     * Handles a disconnect of the caller: ends the call without an answer.
     *
     * @param tokens tokens generated for the caller so far, for the bill
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
            // A pending claim is released by onClaimAnswer.
            if (!claiming) {
                releaseClaim();
            }
        }
        entry.onCallEnded(this);
    }

    private boolean isCurrentIntent(String attemptIntentId) {
        return attemptIntentId.equals(intentId) && chartRun.isIn("dispatched");
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

    /**
     * Refuses the call. Once an attempt may have run, the refusal never states that the call did
     * not run.
     */
    private void refuse(Refusal reason) {
        boolean executionUnknown = attemptMayHaveRun && reason.notRun() == NotRun.TRUE;
        Refusal refusal = executionUnknown ? reason.withExecutionUnknown() : reason;
        chartRun.fire("refuse");
        releaseClaim();
        entry.logDecision(callId, "Refused with code " + refusal.code().number() + ".");
        entry.onCallEnded(this);
        port.refuse(refusal);
    }
}
