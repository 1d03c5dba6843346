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
    private final Fleet fleet;
    private final long seed;
    private final Map<String, Long> lastVersions = new HashMap<>();
    private final Map<String, Long> lostSpent = new HashMap<>();
    private long steps;

    Invariants(Fleet fleet, long seed) {
        this.fleet = fleet;
        this.seed = seed;
    }

    /** Keeps what a ledger spent whose disk is about to be lost. */
    void noteLost(ControlInstance control) {
        LedgerState state = durableState(control);
        lostSpent.put(control.id(), state.spent("b") + state.reserved("b"));
    }

    private static LedgerState durableState(ControlInstance control) {
        LedgerState state = new LedgerState();
        for (JournalRecord entry : control.ledgerRecords()) {
            state.apply(entry);
        }
        return state;
    }

    void check() {
        steps++;
        checkSpend();
        checkCalls();
        checkVersions();
    }

    long steps() {
        return steps;
    }

    private void fail(String what) {
        throw new AssertionError(
                "seed " + seed + " at " + fleet.time().nowMillis() + " ms: " + what);
    }

    private void checkSpend() {
        long used = 0;
        for (long lost : lostSpent.values()) {
            used += lost;
        }
        for (ControlInstance control : fleet.controls()) {
            LedgerState state = control.node().ledger().state();
            if (state.available("b") < 0) {
                fail(control.name + " has " + state.available("b") + " available");
            }
            used += state.spent("b") + state.reserved("b") + Math.max(0, state.available("b"));
        }
        if (used > fleet.mostCredited()) {
            fail("ledgers hold " + used + " of " + fleet.mostCredited() + " credited");
        }
    }

    private void checkCalls() {
        for (CallerCall call : fleet.takeTouched()) {
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
            if (call.hasFalseNotRun()) {
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

    private void checkVersions() {
        for (EntryInstance entry : fleet.entries()) {
            if (!entry.isAlive()) {
                continue;
            }
            long version = entry.hub().rules().version();
            long before = lastVersions.getOrDefault(entry.name, 0L);
            if (entry.hub().isSynced() && version < before) {
                fail(entry.name + " went back from version " + before + " to " + version);
            }
            lastVersions.put(entry.name, Math.max(before, version));
        }
    }

    /** At rest nothing is reserved, and every answer is on exactly one bill. */
    void checkAtRest() {
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
        for (CallerCall call : fleet.calls()) {
            checkBilled(call, billed.getOrDefault(call.key + "/f", 0L));
        }
    }

    private void checkBilled(CallerCall call, long billed) {
        boolean exact = billed == call.tokens;
        boolean maybeRan = !call.isAnswered() && billed == 0;
        if (!exact && !maybeRan) {
            fail(call.key + " cost " + call.tokens + " and was billed " + billed);
        }
    }
}
