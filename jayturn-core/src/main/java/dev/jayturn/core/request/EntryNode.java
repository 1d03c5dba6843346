package dev.jayturn.core.request;

import dev.jayturn.core.control.ControlAnswer;
import dev.jayturn.core.limits.CustomerLimits;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.retry.CircuitBreakers;
import dev.jayturn.core.retry.RetryBudget;
import dev.jayturn.core.routing.Router;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The open calls of an entry instance, with the clients and limits that they share. */
public final class EntryNode {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final String idPrefix;
    private final Router router;
    private final CircuitBreakers breakers;
    private final CustomerLimits limits;
    private final LedgerClient ledgers;
    private final ControlClient control;
    private final TimerService timers;
    private final DecisionLog decisionLog;
    private final RetryBudget retryBudget = new RetryBudget();
    private final Map<String, Call> calls = new HashMap<>();
    private long lastCallNumber;
    private boolean draining;

    /**
     * Creates the node of one incarnation of an entry instance.
     *
     * @param incarnation greater than all earlier incarnations of the instance
     * @param controls control instances, the nearest first
     */
    public EntryNode(
            String instance,
            long incarnation,
            List<String> controls,
            Router router,
            CircuitBreakers breakers,
            Transport transport,
            TimerService timers,
            RandomSource random,
            DecisionLog decisionLog) {
        this.idPrefix = instance + "-" + Long.toString(incarnation, 36) + "-";
        this.router = router;
        this.breakers = breakers;
        this.timers = timers;
        this.decisionLog = decisionLog;
        this.limits = new CustomerLimits(timers);
        this.ledgers = new LedgerClient(instance, incarnation, controls, transport, timers);
        this.control =
                new ControlClient(instance, incarnation, controls, transport, timers, random);
    }

    /**
     * Starts a call. The port gets exactly one answer unless the caller disconnects.
     *
     * @return the call, or null if it was refused at once
     */
    public @Nullable Call start(CallSpec spec, CallPort port) {
        Refusal refusal = admit(spec);
        if (refusal != null) {
            port.refuse(refusal);
            return null;
        }
        Call call = new Call(idPrefix + ++lastCallNumber, spec, port, this);
        calls.put(call.callId(), call);
        retryBudget.recordRequest();
        call.start();
        return call;
    }

    private @Nullable Refusal admit(CallSpec spec) {
        if (draining) {
            return Refusal.notRun(ResultCode.DRAINING, "try another instance", RETRY_AFTER_MILLIS);
        }
        if (!spec.repeatable() && spec.key().isEmpty()) {
            return Refusal.notRun(ResultCode.KEY_REQUIRED, "send an Idempotency-Key");
        }
        return limits.admit(spec.principal());
    }

    /** Handles a message; ignores messages of other types. */
    public void handle(Message message) {
        if (message instanceof ControlAnswer answer) {
            control.handle(answer);
        } else {
            ledgers.handle(message);
        }
    }

    /** Starts to refuse new calls; open calls continue. */
    public void drain() {
        draining = true;
    }

    /** Returns whether new calls are refused. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns whether no call is open and all settlements are confirmed. */
    public boolean isIdle() {
        return calls.isEmpty() && ledgers.isIdle();
    }

    /** Returns the number of open calls. */
    public int openCalls() {
        return calls.size();
    }

    /** Returns whether a ledger can accept intents. */
    public boolean hasUsableLedger() {
        return ledgers.hasUsableLedger();
    }

    /** Returns the client of the control log. */
    public ControlClient control() {
        return control;
    }

    void onCallEnded(Call call) {
        calls.remove(call.callId());
        limits.release(call.spec().principal().customer());
    }

    boolean tryRetry() {
        return retryBudget.tryAcquire();
    }

    void logDecision(String callId, String sentence) {
        decisionLog.logDecision(callId, sentence);
    }

    long nowMillis() {
        return timers.nowMillis();
    }

    Router router() {
        return router;
    }

    CircuitBreakers breakers() {
        return breakers;
    }

    LedgerClient ledgers() {
        return ledgers;
    }
}
