package dev.jayturn.core.scenario;

import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.fake.CallReply;
import dev.jayturn.core.fake.FakeUpstream;
import dev.jayturn.core.fake.RunCall;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.request.Call;
import dev.jayturn.core.request.CallPort;
import dev.jayturn.core.request.CallSpec;
import dev.jayturn.core.result.NotRun;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.Principal;
import java.util.ArrayList;
import java.util.List;

/** A caller with one call: it tries again with the same key, at the next instance each time. */
final class CallerCall {
    private static final long PATIENCE_MILLIS = 6_000;
    private static final long PAUSE_MILLIS = 300;
    private static final long UPSTREAM_MILLIS = 4_000;

    final Fleet fleet;
    final String customer;
    final String budget;
    final String key;
    final boolean mayRepeat;
    final long tokens;
    final List<String> intents = new ArrayList<>();
    final List<String> notRunIntents = new ArrayList<>();
    final List<Refusal> refusals = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    private final int mostTries;
    private int tries;
    private int nextEntry;

    CallerCall(
            Fleet fleet,
            String customer,
            String budget,
            String key,
            boolean mayRepeat,
            long tokens,
            int firstEntry,
            int mostTries) {
        this.fleet = fleet;
        this.customer = customer;
        this.budget = budget;
        this.key = key;
        this.mayRepeat = mayRepeat;
        this.tokens = tokens;
        this.nextEntry = firstEntry;
        this.mostTries = mostTries;
    }

    boolean isAnswered() {
        return !answers.isEmpty();
    }

    boolean isOver() {
        return isAnswered() || tries >= mostTries;
    }

    void send() {
        if (isOver()) {
            return;
        }
        int attempt = ++tries;
        EntryInstance instance = fleet.entries().get(nextEntry % fleet.entries().size());
        nextEntry++;
        fleet.time().schedule(PATIENCE_MILLIS, () -> giveUpOn(attempt));
        if (!instance.isAlive()) {
            fleet.time().schedule(PAUSE_MILLIS, () -> giveUpOn(attempt));
            return;
        }
        instance.process().run(() -> start(instance, attempt));
    }

    private void giveUpOn(int attempt) {
        if (attempt == tries && !isAnswered()) {
            send();
        }
    }

    private void start(EntryInstance instance, int attempt) {
        Principal principal = new Principal(customer, budget, 5, 0, 0, 1);
        CallSpec spec =
                new CallSpec(
                        "r",
                        principal,
                        mayRepeat ? "llm" : "desk",
                        mayRepeat ? "m" : "",
                        "least",
                        0,
                        tokens,
                        key,
                        "f",
                        mayRepeat,
                        UPSTREAM_MILLIS);
        Port port = new Port(instance, attempt);
        port.call = instance.entry().start(spec, port);
    }

    /** One try at one entry instance. */
    private final class Port implements CallPort {
        private final EntryInstance instance;
        private final int attempt;
        private final List<String> mine = new ArrayList<>();
        private Call call;

        Port(EntryInstance instance, int attempt) {
            this.instance = instance;
            this.attempt = attempt;
        }

        @Override
        public void dispatch(String intentId, Upstream upstream) {
            intents.add(intentId);
            mine.add(intentId);
            instance.await(intentId, done -> done(intentId, done));
            instance.process()
                    .send(
                            "upstream/" + upstream.address(),
                            new RunCall(intentId, instance.name, key, tokens));
            instance.process().schedule(UPSTREAM_MILLIS, () -> timedOut(intentId));
        }

        /** The connection is closed, so that an answer which comes later reaches nobody. */
        private void timedOut(String intentId) {
            if (instance.stopAwaiting(intentId)) {
                call.onUpstreamFailed(intentId, false, 0, ResultCode.UPSTREAM_TIMEOUT);
            }
        }

        private void done(String intentId, CallReply done) {
            if (done.refused()) {
                call.onUpstreamRefused(intentId, "refused");
                return;
            }
            CallOutcome outcome =
                    new CallOutcome(CallOutcome.State.RAN, 200, "text", done.key(), true);
            call.onCompleted(intentId, done.tokens(), outcome);
            answered(done.key());
        }

        private void answered(String answer) {
            if (attempt == tries) {
                answers.add(answer);
                fleet.touch(CallerCall.this);
            }
        }

        @Override
        public void refuse(Refusal refusal) {
            refusals.add(refusal);
            fleet.touch(CallerCall.this);
            if (refusal.notRun() == NotRun.TRUE) {
                notRunIntents.addAll(mine);
            }
            if (attempt == tries) {
                fleet.time().schedule(PAUSE_MILLIS, () -> giveUpOn(attempt));
            }
        }

        @Override
        public void replay(CallOutcome outcome) {
            answered(outcome.body());
        }
    }

    /** Returns whether a call that was refused as not run has run at any upstream. */
    boolean hasFalseNotRun() {
        for (String intent : notRunIntents) {
            for (FakeUpstream upstream : fleet.upstreams()) {
                if (upstream.hasRun(intent)) {
                    return true;
                }
            }
        }
        return false;
    }
}
