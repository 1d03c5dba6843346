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

/** What must hold after every step, and what must hold once a fleet has come to rest. */
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

    /** Keeps what a ledger spent whose disk is about to be lost. */
    void recordDiskLoss(ControlInstance control) {
        LedgerState state = durableState(control);
        usedTokensOfLostLedgers.put(control.id(), state.spent("b") + state.reserved("b"));
    }

    private static LedgerState durableState(ControlInstance control) {
        LedgerState state = new LedgerState();
        for (JournalRecord entry : control.ledgerRecords()) {
            state.apply(entry);
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

    private void fail(String what) {
        throw new AssertionError(
                "seed " + seed + " at " + fleet.time().nowMillis() + " ms: " + what);
    }

    private void checkNoOverspend() {
        long used = 0;
        for (long lost : usedTokensOfLostLedgers.values()) {
            used += lost;
        }
        for (ControlInstance control : fleet.controls()) {
            LedgerState state = control.node().ledger().state();
            if (state.available("b") < 0) {
                fail(control.name + " has " + state.available("b") + " available");
            }
            used += state.spent("b") + state.reserved("b") + Math.max(0, state.available("b"));
        }
        if (used > fleet.maxCreditedTokens()) {
            fail("ledgers hold " + used + " of " + fleet.maxCreditedTokens() + " credited");
        }
    }

    private void checkCalls() {
        for (RetryingCall call : fleet.takeChangedCalls()) {
            if (!call.mayRepeat && executions(call.key) > 1) {
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
            long before = highestVersions.getOrDefault(entry.name, 0L);
            if (entry.hub().isSynced() && version < before) {
                fail(entry.name + " went back from version " + before + " to " + version);
            }
            highestVersions.put(entry.name, Math.max(before, version));
        }
    }

    /** At rest nothing is reserved, and every answer is on exactly one bill. */
    void checkWhenIdle() {
        Map<String, Long> billed = new HashMap<>();
        Set<String> intents = new HashSet<>();
        for (ControlInstance control : fleet.controls()) {
            LedgerState state = control.node().ledger().state();
            for (IntentOpened open : state.openIntents()) {
                fail("the intent " + open.intentId() + " of " + open.key() + " is still open");
            }
            for (Bill bill : state.bills()) {
                if (!intents.add(bill.intentId())) {
                    fail("the intent " + bill.intentId() + " is on two bills");
                }
                billed.merge(bill.key(), bill.tokens(), Long::sum);
            }
        }
        for (RetryingCall call : fleet.calls()) {
            checkBilled(call, billed.getOrDefault(call.key + "/f", 0L));
        }
    }

    private void checkBilled(RetryingCall call, long billed) {
        boolean exact = billed == call.tokens;
        boolean maybeRan = !call.isAnswered() && billed == 0;
        if (!exact && !maybeRan) {
            fail(call.key + " cost " + call.tokens + " and was billed " + billed);
        }
    }
}
