package dev.jayturn.core.scenario;

import dev.jayturn.core.budget.Bill;
import dev.jayturn.core.budget.IntentOpened;
import dev.jayturn.core.budget.LedgerState;
import dev.jayturn.core.fake.FakeUpstream;
import dev.jayturn.core.journal.JournalRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Checks that hold after every event, and checks that hold once a fleet is idle. */
final class Invariants {
    private final SimulatedFleet fleet;
    private final long seed;
    private final Map<String, Long> highestVersions = new HashMap<>();
    private final Map<String, Long> usedTokensOfLostLedgers = new HashMap<>();
    private long checkCount;

    Invariants(SimulatedFleet fleet, long seed) {
        this.fleet = fleet;
        this.seed = seed;
    }

    /** Records the tokens used by a ledger whose disk is about to be lost. */
    void recordDiskLoss(ControlInstance control) {
        LedgerState state = durableState(control);
        usedTokensOfLostLedgers.put(control.id(), state.spent("b") + state.reserved("b"));
    }

    private static LedgerState durableState(ControlInstance control) {
        LedgerState state = new LedgerState();
        for (JournalRecord journalRecord : control.ledgerRecords()) {
            state.apply(journalRecord);
        }
        return state;
    }

    void check() {
        checkCount++;
        checkNoOverspend();
        checkCalls();
        checkRuleVersions();
    }

    long checkCount() {
        return checkCount;
    }

    private void fail(String message) {
        throw new AssertionError(
                "seed " + seed + " at " + fleet.time().nowMillis() + " ms: " + message);
    }

    private void checkNoOverspend() {
        long usedTokens = 0;
        for (long lostTokens : usedTokensOfLostLedgers.values()) {
            usedTokens += lostTokens;
        }
        for (ControlInstance control : fleet.controls()) {
            LedgerState state = control.node().ledger().state();
            if (state.available("b") < 0) {
                fail(control.name + " has " + state.available("b") + " available");
            }
            usedTokens +=
                    state.spent("b") + state.reserved("b") + Math.max(0, state.available("b"));
        }
        if (usedTokens > fleet.maxCreditedTokens()) {
            fail("ledgers hold " + usedTokens + " of " + fleet.maxCreditedTokens() + " credited");
        }
    }

    private void checkCalls() {
        for (RetryingCall call : fleet.takeChangedCalls()) {
            if (!call.repeatable && executions(call.key) > 1) {
                fail(call.key + " ran " + executions(call.key) + " times");
            }
            for (String answer : call.answers) {
                if (!answer.equals(call.key)) {
                    fail(call.key + " got the answer of " + answer);
                }
            }
            if (call.answers.size() > 1) {
                fail(call.key + " was answered " + call.answers.size() + " times");
            }
            if (call.hasFalseNotRunRefusal()) {
                fail(call.key + " was refused as not run, but ran");
            }
        }
    }

    private int executions(String key) {
        int count = 0;
        for (FakeUpstream upstream : fleet.upstreams()) {
            count += upstream.executionCount(key);
        }
        return count;
    }

    private void checkRuleVersions() {
        for (EntryInstance entry : fleet.entries()) {
            if (!entry.isRunning()) {
                continue;
            }
            long version = entry.hub().rules().version();
            long previous = highestVersions.getOrDefault(entry.name, 0L);
            if (entry.hub().isSynced() && version < previous) {
                fail(entry.name + " went back from version " + previous + " to " + version);
            }
            highestVersions.put(entry.name, Math.max(previous, version));
        }
    }

    /** Checks that nothing is reserved and that every answer is on exactly one bill. */
    void checkWhenIdle() {
        Map<String, Long> billedTokensByKey = new HashMap<>();
        Set<String> billedIntents = new HashSet<>();
        for (ControlInstance control : fleet.controls()) {
            LedgerState state = control.node().ledger().state();
            for (IntentOpened open : state.openIntents()) {
                fail("the intent " + open.intentId() + " of " + open.key() + " is still open");
            }
            for (Bill bill : state.bills()) {
                if (!billedIntents.add(bill.intentId())) {
                    fail("the intent " + bill.intentId() + " is on two bills");
                }
                billedTokensByKey.merge(bill.key(), bill.tokens(), Long::sum);
            }
        }
        for (RetryingCall call : fleet.calls()) {
            checkBilled(call, billedTokensByKey.getOrDefault(call.key + "/f", 0L));
        }
    }

    private void checkBilled(RetryingCall call, long billedTokens) {
        boolean billedExactly = billedTokens == call.tokens;
        boolean unansweredAndUnbilled = !call.isAnswered() && billedTokens == 0;
        if (!billedExactly && !unansweredAndUnbilled) {
            fail(call.key + " cost " + call.tokens + " and was billed " + billedTokens);
        }
    }
}
