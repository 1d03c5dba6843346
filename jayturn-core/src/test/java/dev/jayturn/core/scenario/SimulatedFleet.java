package dev.jayturn.core.scenario;

import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.control.ApplyRules;
import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.control.Credit;
import dev.jayturn.core.fake.FakeUpstream;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.RuleDelta;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A fleet in virtual time: three data centres with one control instance, two entry instances and
 * two upstreams each.
 */
final class SimulatedFleet {
    private static final String[] DATA_CENTRES = {"kokura", "yahata", "kagoshima"};
    private static final long OPERATOR_TIMEOUT_MILLIS = 4_000;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final VirtualNetwork network;
    private final List<ControlInstance> controls = new ArrayList<>();
    private final List<EntryInstance> entries = new ArrayList<>();
    private final List<FakeUpstream> upstreams = new ArrayList<>();
    private final List<RetryingCall> calls = new ArrayList<>();
    private final Map<Long, Command> appliedCommands = new HashMap<>();
    private final Map<String, RetryingCall> callsByKey = new HashMap<>();
    private final Set<RetryingCall> changedCalls = new LinkedHashSet<>();
    private final Invariants invariants;
    private long acknowledgedCreditTokens;
    private long maxCreditedTokens;
    private int lastKeyNumber;

    SimulatedFleet(long seed, boolean tombstones) {
        random = new Random(seed);
        network = new VirtualNetwork(time, random);
        invariants = new Invariants(this, seed);
        for (String dataCentre : DATA_CENTRES) {
            controls.add(new ControlInstance(this, dataCentre + "-c", dataCentre, random));
        }
        for (int i = 0; i < 6; i++) {
            String dataCentre = DATA_CENTRES[i % DATA_CENTRES.length];
            entries.add(new EntryInstance(this, dataCentre + "-e" + i, dataCentre, random));
        }
        for (int i = 0; i < controls.size(); i++) {
            controls.get(i).start(i == 0);
        }
        entries.forEach(EntryInstance::start);
        for (int i = 0; i < 6; i++) {
            String dataCentre = DATA_CENTRES[i % DATA_CENTRES.length];
            addUpstream(dataCentre, tombstones, i < 3 ? List.of("m") : List.of());
        }
        time.runAfterEachEvent(invariants::check);
        time.runFor(8_000);
    }

    private void addUpstream(String dataCentre, boolean tombstones, List<String> models) {
        String id = dataCentre + "-u" + upstreams.size();
        FakeUpstream upstream =
                new FakeUpstream(
                        id,
                        dataCentre,
                        tombstones,
                        models,
                        time,
                        network,
                        announce -> {
                            EntryInstance entry = runningEntryIn(dataCentre);
                            if (entry != null) {
                                entry.process().run(() -> entry.hub().publish(announce));
                            }
                        });
        upstream.onRun(key -> markChanged(callsByKey.get(key)));
        upstreams.add(upstream);
    }

    void markChanged(RetryingCall call) {
        changedCalls.add(call);
    }

    /** Returns and clears the calls that changed since the previous call of this method. */
    List<RetryingCall> takeChangedCalls() {
        List<RetryingCall> calls = new ArrayList<>(changedCalls);
        changedCalls.clear();
        return calls;
    }

    private EntryInstance runningEntryIn(String dataCentre) {
        for (EntryInstance entry : entries) {
            if (entry.dataCentre.equals(dataCentre) && entry.isRunning()) {
                return entry;
            }
        }
        return null;
    }

    VirtualTime time() {
        return time;
    }

    VirtualNetwork network() {
        return network;
    }

    Random random() {
        return random;
    }

    List<ControlInstance> controls() {
        return controls;
    }

    List<EntryInstance> entries() {
        return entries;
    }

    List<FakeUpstream> upstreams() {
        return upstreams;
    }

    List<RetryingCall> calls() {
        return calls;
    }

    Invariants invariants() {
        return invariants;
    }

    List<String> controlNames() {
        List<String> names = new ArrayList<>();
        for (String dataCentre : DATA_CENTRES) {
            names.add(dataCentre + "-c");
        }
        return names;
    }

    List<String> controlNamesNearestFirst(String dataCentre) {
        List<String> names = controlNames();
        names.remove(dataCentre + "-c");
        names.add(0, dataCentre + "-c");
        return names;
    }

    ControlInstance control(String dataCentre) {
        return controls.stream().filter(c -> c.dataCentre.equals(dataCentre)).findFirst().get();
    }

    ControlInstance leader() {
        ControlInstance leader = null;
        for (ControlInstance control : controls) {
            boolean isLeader = control.isRunning() && control.node().raft().isLeader();
            if (isLeader && (leader == null || term(control) > term(leader))) {
                leader = control;
            }
        }
        return leader;
    }

    private static long term(ControlInstance control) {
        return control.node().raft().term();
    }

    void recordApplied(String name, long index, Command command) {
        Command previous = appliedCommands.putIfAbsent(index, command);
        if (previous != null && !previous.equals(command)) {
            throw new AssertionError(
                    name + " applied " + command + " at " + index + ", another member " + previous);
        }
    }

    long maxCreditedTokens() {
        return maxCreditedTokens;
    }

    long acknowledgedCreditTokens() {
        return acknowledgedCreditTokens;
    }

    /** Commits a command through an entry instance of a data centre and waits for the outcome. */
    ControlOutcome commit(String dataCentre, Command command) {
        AtomicReference<ControlOutcome> answer = commitAsync(dataCentre, command);
        time.runFor(OPERATOR_TIMEOUT_MILLIS + 500);
        return answer.get();
    }

    AtomicReference<ControlOutcome> commitAsync(String dataCentre, Command command) {
        AtomicReference<ControlOutcome> answer = new AtomicReference<>();
        EntryInstance entry = runningEntryIn(dataCentre);
        entry.process()
                .run(
                        () ->
                                entry.entry()
                                        .control()
                                        .commit(command, OPERATOR_TIMEOUT_MILLIS, answer::set));
        return answer;
    }

    ControlOutcome credit(String dataCentre, String id, String budget, long tokens) {
        maxCreditedTokens += tokens;
        ControlOutcome outcome =
                commit(dataCentre, new Credit(id, budget, tokens, List.of(), "op", 1));
        if (outcome.code() == ResultCode.OK) {
            acknowledgedCreditTokens += tokens;
        } else if (outcome.code() != ResultCode.CONTROL_UNREACHABLE) {
            maxCreditedTokens -= tokens;
        }
        return outcome;
    }

    /** Sends a credit a second time under the same id; it must be counted once. */
    ControlOutcome resendCredit(String dataCentre, String id, String budget, long tokens) {
        return commit(dataCentre, new Credit(id, budget, tokens, List.of(), "op", 1));
    }

    ApplyRules ruleChange(String changeId, long expectedVersion, String line) {
        RuleDelta delta = new RuleDelta(List.of(line), List.of());
        return new ApplyRules(changeId, line.hashCode(), expectedVersion, delta, "op", 1);
    }

    RetryingCall startCall(
            String customer,
            boolean repeatable,
            long tokens,
            int firstEntryIndex,
            int maxAttempts) {
        RetryingCall call =
                new RetryingCall(
                        this,
                        customer,
                        "b",
                        "k" + ++lastKeyNumber,
                        repeatable,
                        tokens,
                        firstEntryIndex,
                        maxAttempts);
        calls.add(call);
        callsByKey.put(call.key, call);
        time.schedule(0, call::send);
        return call;
    }

    /**
     * Schedules calls at random times from now on, each starting at a random entry instance.
     *
     * @param nonRepeatableFraction expected fraction of calls that must not be executed twice
     */
    void scheduleCalls(int count, long durationMillis, double nonRepeatableFraction) {
        for (int i = 0; i < count; i++) {
            boolean repeatable = random.nextDouble() >= nonRepeatableFraction;
            int firstEntryIndex = random.nextInt(entries.size());
            long tokens = 5 + random.nextInt(20);
            long delayMillis = random.nextInt((int) durationMillis);
            time.schedule(
                    delayMillis, () -> startCall("c", repeatable, tokens, firstEntryIndex, 5));
        }
    }
}
