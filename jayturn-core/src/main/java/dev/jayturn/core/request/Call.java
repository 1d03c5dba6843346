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
    private static final long LEDGER_WAIT_MILLIS = 1_000;
    private static final long CLAIM_WAIT_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 4;

    private final String callId;
    private final CallSpec spec;
    private final CallPort port;
    private final EntryNode entry;
    private final StateChartRun run = new StateChartRun(CHART);
    private final Set<String> failedUpstreams = new HashSet<>();
    private final Set<String> triedLedgers = new HashSet<>();
    private int attempt;
    private String intentId = "";
    private boolean claimed;
    private boolean mayHaveRun;
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
        if (spec.mayRepeat()) {
            run.fire("open");
            openIntent();
            return;
        }
        run.fire("claim");
        ClaimCall claim =
                new ClaimCall(
                        spec.principal().customer(),
                        spec.key(),
                        callId,
                        spec.fingerprint(),
                        spec.service(),
                        entry.nowMillis());
        entry.control().commit(claim, CLAIM_WAIT_MILLIS, this::claimAnswered);
    }

    private void claimAnswered(ControlOutcome outcome) {
        claimed = outcome.code() == ResultCode.OK;
        if (outcome.code() == ResultCode.CONTROL_UNREACHABLE) {
            claimed = true; // The claim may have been committed and must be released.
        }
        if (run.isFinished()) {
            releaseClaim();
            return;
        }
        if (outcome.code() == ResultCode.OK) {
            run.fire("granted");
            openIntent();
            return;
        }
        CallOutcome before = outcome.call();
        if (outcome.code() == ResultCode.OUTCOME_RECORDED && before != null) {
            run.fire("replay");
            entry.decided(callId, "The recorded answer is replayed.");
            entry.ended(this);
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
        Either<ResultCode, RouteChoice> routed = entry.router().route(query());
        if (routed.isLeft()) {
            refuse(Refusal.notRun(routed.getLeft(), "service " + spec.service(), 1_000));
            return;
        }
        LedgerLink ledger = entry.ledgers().choose(triedLedgers);
        if (ledger == null) {
            refuse(Refusal.notRun(ResultCode.LEDGER_UNREACHABLE, "", 1_000));
            return;
        }
        RouteChoice choice = routed.get();
        Upstream chosen = choice.upstream();
        upstream = chosen;
        intentId = callId + "." + ++attempt;
        entry.decided(
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
        ledger.open(draft(chosen), code -> intentAnswered(opened, ledger, code));
    }

    private RouteQuery query() {
        return new RouteQuery(
                callId,
                spec.service(),
                spec.model(),
                spec.policy(),
                spec.prefixHash(),
                failedUpstreams);
    }

    private OpenIntent draft(Upstream chosen) {
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
                LEDGER_WAIT_MILLIS);
    }

    private void intentAnswered(String opened, LedgerLink ledger, ResultCode code) {
        if (!opened.equals(intentId) || !run.isIn("opening")) {
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
        if (otherLedger && attempt < MAX_ATTEMPTS) {
            triedLedgers.add(ledger.ledger());
            run.fire("reopen");
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
        run.fire("opened");
        entry.router().requestStarted(chosen.id());
        port.dispatch(intentId, chosen);
    }

    private void leaveUpstream(boolean good) {
        Upstream used = upstream;
        upstream = null;
        if (used == null) {
            return;
        }
        entry.router().requestFinished(used.id());
        if (good) {
            entry.breakers().succeeded(used.id());
        } else {
            entry.breakers().failed(used.id());
            failedUpstreams.add(used.id());
        }
    }

    /** Tells that the answer was whole; the tokens are billed and the outcome is recorded. */
    public void completed(String ofIntent, long tokens, CallOutcome outcome) {
        if (!isCurrent(ofIntent)) {
            return;
        }
        run.fire("complete");
        leaveUpstream(true);
        settle(tokens);
        record(outcome);
        entry.ended(this);
    }

    /** Tells that no byte of the call reached the upstream. */
    public void failedUnsent(String ofIntent, String detail) {
        if (!isCurrent(ofIntent)) {
            return;
        }
        leaveUpstream(false);
        entry.decided(callId, "Intent " + ofIntent + " was not sent: " + detail + ".");
        retryOr(Refusal.notRun(ResultCode.UPSTREAM_FAILED, detail, 1_000));
    }

    /** Tells that the upstream refused the call before it ran any of it. */
    public void refusedByUpstream(String ofIntent, String detail) {
        if (!isCurrent(ofIntent)) {
            return;
        }
        Upstream used = upstream;
        leaveUpstream(true);
        if (used != null) {
            failedUpstreams.add(used.id());
        }
        entry.decided(callId, "Intent " + ofIntent + " was refused: " + detail + ".");
        retryOr(Refusal.notRun(ResultCode.NO_UPSTREAM, detail, 1_000));
    }

    /**
     * Tells that the upstream failed after the call may have reached it.
     *
     * @param delivered whether a part of the answer has reached the caller
     * @param tokens tokens of the answer that the caller has, for the bill
     */
    public void broke(String ofIntent, boolean delivered, long tokens, ResultCode code) {
        if (!isCurrent(ofIntent)) {
            return;
        }
        leaveUpstream(false);
        entry.decided(callId, "Intent " + ofIntent + " broke: " + code.text() + ".");
        if (!spec.mayRepeat()) {
            settle(0);
            record(CallOutcome.without(CallOutcome.State.UNKNOWN));
            refuse(Refusal.unknown(ResultCode.OUTCOME_UNKNOWN, code.text()));
            return;
        }
        mayHaveRun = true;
        if (delivered) {
            settle(tokens);
            refuse(new Refusal(code, NotRun.FALSE, "", 0));
            return;
        }
        retryOr(Refusal.unknown(code, ""));
    }

    private void retryOr(Refusal refusal) {
        settle(0);
        if (attempt < MAX_ATTEMPTS && entry.tryRetry()) {
            run.fire("retry");
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
    public void callerGone(long tokens) {
        if (run.isFinished()) {
            return;
        }
        boolean sent = run.isIn("dispatched");
        boolean claiming = run.isIn("claiming");
        run.fire("gone");
        if (sent) {
            leaveUpstream(true);
            settle(tokens);
            record(CallOutcome.without(CallOutcome.State.UNKNOWN));
        } else {
            entry.ledgers().abandon(intentId);
            if (!claiming) {
                releaseClaim();
            }
        }
        entry.ended(this);
    }

    private boolean isCurrent(String ofIntent) {
        return ofIntent.equals(intentId) && run.isIn("dispatched");
    }

    private void settle(long tokens) {
        entry.ledgers().settle(intentId, tokens);
    }

    private void record(CallOutcome outcome) {
        if (claimed) {
            claimed = false;
            entry.control()
                    .commitAlways(
                            new RecordOutcome(
                                    spec.principal().customer(), spec.key(), callId, outcome));
        }
    }

    private void releaseClaim() {
        if (claimed) {
            claimed = false;
            entry.control()
                    .commitAlways(
                            new ReleaseClaim(spec.principal().customer(), spec.key(), callId));
        }
    }

    /** Refuses; once an attempt may have run, no refusal says that the call did not. */
    private void refuse(Refusal reason) {
        boolean doubtful = mayHaveRun && reason.notRun() == NotRun.TRUE;
        Refusal refusal = doubtful ? reason.unlessRun() : reason;
        run.fire("refuse");
        releaseClaim();
        entry.decided(callId, "Refused with " + refusal.code().number() + ".");
        entry.ended(this);
        port.refuse(refusal);
    }
}
