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

/** A call whose caller retries with the same idempotency key at the next entry instance. */
final class RetryingCall {
    private static final long ATTEMPT_TIMEOUT_MILLIS = 6_000;
    private static final long RETRY_DELAY_MILLIS = 300;
    private static final long UPSTREAM_TIMEOUT_MILLIS = 4_000;

    final SimulatedFleet fleet;
    final String customer;
    final String budget;
    final String key;
    final boolean repeatable;
    final long tokens;
    final List<String> intents = new ArrayList<>();
    final List<String> notRunIntents = new ArrayList<>();
    final List<Refusal> refusals = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    private final int maxAttempts;
    private int attempts;
    private int nextEntryIndex;

    RetryingCall(
            SimulatedFleet fleet,
            String customer,
            String budget,
            String key,
            boolean mayRepeat,
            long tokens,
            int firstEntryIndex,
            int maxAttempts) {
        this.fleet = fleet;
        this.customer = customer;
        this.budget = budget;
        this.key = key;
        this.repeatable = mayRepeat;
        this.tokens = tokens;
        this.nextEntryIndex = firstEntryIndex;
        this.maxAttempts = maxAttempts;
    }

    boolean isAnswered() {
        return !answers.isEmpty();
    }

    boolean isFinished() {
        return isAnswered() || attempts >= maxAttempts;
    }

    void send() {
        if (isFinished()) {
            return;
        }
        int attemptNumber = ++attempts;
        EntryInstance instance = fleet.entries().get(nextEntryIndex % fleet.entries().size());
        nextEntryIndex++;
        fleet.time().schedule(ATTEMPT_TIMEOUT_MILLIS, () -> retryIfCurrent(attemptNumber));
        if (!instance.isRunning()) {
            fleet.time().schedule(RETRY_DELAY_MILLIS, () -> retryIfCurrent(attemptNumber));
            return;
        }
        instance.process().run(() -> start(instance, attemptNumber));
    }

    private void retryIfCurrent(int attemptNumber) {
        if (attemptNumber == attempts && !isAnswered()) {
            send();
        }
    }

    private void start(EntryInstance instance, int attemptNumber) {
        Principal principal = new Principal(customer, budget, 5, 0, 0, 1);
        CallSpec spec =
                new CallSpec(
                        "r",
                        principal,
                        repeatable ? "llm" : "desk",
                        repeatable ? "m" : "",
                        "least",
                        0,
                        tokens,
                        key,
                        "f",
                        repeatable,
                        UPSTREAM_TIMEOUT_MILLIS);
        Attempt currentAttempt = new Attempt(instance, attemptNumber);
        currentAttempt.call = instance.entry().start(spec, currentAttempt);
    }

    /** One attempt at one entry instance. */
    private final class Attempt implements CallPort {
        private final EntryInstance instance;
        private final int number;
        private final List<String> attemptIntents = new ArrayList<>();
        private Call call;

        Attempt(EntryInstance instance, int number) {
            this.instance = instance;
            this.number = number;
        }

        @Override
        public void dispatch(String intentId, Upstream upstream) {
            intents.add(intentId);
            attemptIntents.add(intentId);
            instance.await(intentId, reply -> onUpstreamReply(intentId, reply));
            instance.process()
                    .send(
                            "upstream/" + upstream.address(),
                            new RunCall(intentId, instance.name, key, tokens));
            instance.process().schedule(UPSTREAM_TIMEOUT_MILLIS, () -> onTimeout(intentId));
        }

        /** Closes the connection to the upstream; a later answer is dropped. */
        private void onTimeout(String intentId) {
            if (instance.stopAwaiting(intentId)) {
                call.onUpstreamFailed(intentId, false, 0, ResultCode.UPSTREAM_TIMEOUT);
            }
        }

        private void onUpstreamReply(String intentId, CallReply reply) {
            if (reply.refused()) {
                call.onUpstreamRefused(intentId, "refused");
                return;
            }
            CallOutcome outcome =
                    new CallOutcome(CallOutcome.State.RAN, 200, "text", reply.key(), true);
            call.onCompleted(intentId, reply.tokens(), outcome);
            recordAnswer(reply.key());
        }

        private void recordAnswer(String answer) {
            if (number == attempts) {
                answers.add(answer);
                fleet.markChanged(RetryingCall.this);
            }
        }

        @Override
        public void refuse(Refusal refusal) {
            refusals.add(refusal);
            fleet.markChanged(RetryingCall.this);
            if (refusal.notRun() == NotRun.TRUE) {
                notRunIntents.addAll(attemptIntents);
            }
            if (number == attempts) {
                fleet.time().schedule(RETRY_DELAY_MILLIS, () -> retryIfCurrent(number));
            }
        }

        @Override
        public void replay(CallOutcome outcome) {
            recordAnswer(outcome.body());
        }
    }

    /** Returns whether an upstream executed an attempt that was refused as not run. */
    boolean hasFalseNotRunRefusal() {
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
