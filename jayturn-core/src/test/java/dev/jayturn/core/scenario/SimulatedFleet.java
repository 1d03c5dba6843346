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

/** A fleet of today's size in virtual time: three data centres, of which two are near. */
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
        for (String place : DATA_CENTRES) {
            controls.add(new ControlInstance(this, place + "-c", place, random));
        }
        for (int i = 0; i < 6; i++) {
            String place = DATA_CENTRES[i % DATA_CENTRES.length];
            entries.add(new EntryInstance(this, place + "-e" + i, place, random));
        }
        for (int i = 0; i < controls.size(); i++) {
            controls.get(i).start(i == 0);
        }
        entries.forEach(EntryInstance::start);
        for (int i = 0; i < 6; i++) {
            String place = DATA_CENTRES[i % DATA_CENTRES.length];
            addUpstream(place, tombstones, i < 3 ? List.of("m") : List.of());
        }
        time.runAfterEachEvent(invariants::check);
        time.runFor(8_000);
    }

    private void addUpstream(String place, boolean tombstones, List<String> models) {
        String id = place + "-u" + upstreams.size();
        FakeUpstream upstream =
                new FakeUpstream(
                        id,
                        place,
                        tombstones,
                        models,
                        time,
                        network,
                        announce -> {
                            EntryInstance near = runningEntryIn(place);
                            if (near != null) {
                                near.process().run(() -> near.hub().publish(announce));
                            }
                        });
        upstream.onRun(key -> markChanged(callsByKey.get(key)));
        upstreams.add(upstream);
    }

    void markChanged(RetryingCall call) {
        changedCalls.add(call);
    }

    /** Returns the calls that something happened to since the last time. */
    List<RetryingCall> takeChangedCalls() {
        List<RetryingCall> calls = new ArrayList<>(changedCalls);
        changedCalls.clear();
        return calls;
    }

    private EntryInstance runningEntryIn(String place) {
        for (EntryInstance entry : entries) {
            if (entry.dataCentre.equals(place) && entry.isRunning()) {
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
        for (String place : DATA_CENTRES) {
            names.add(place + "-c");
        }
        return names;
    }

    List<String> controlNamesNearestFirst(String place) {
        List<String> names = controlNames();
        names.remove(place + "-c");
        names.add(0, place + "-c");
        return names;
    }

    ControlInstance control(String place) {
        return controls.stream().filter(c -> c.dataCentre.equals(place)).findFirst().get();
    }

    ControlInstance leader() {
        ControlInstance best = null;
        for (ControlInstance control : controls) {
            boolean leads = control.isRunning() && control.node().raft().isLeader();
            if (leads && (best == null || term(control) > term(best))) {
                best = control;
            }
        }
        return best;
    }

    private static long term(ControlInstance control) {
        return control.node().raft().term();
    }

    void recordApplied(String name, long index, Command command) {
        Command before = appliedCommands.putIfAbsent(index, command);
        if (before != null && !before.equals(command)) {
            throw new AssertionError(
                    name + " applied " + command + " at " + index + ", another " + before);
        }
    }

    long maxCreditedTokens() {
        return maxCreditedTokens;
    }

    long acknowledgedCreditTokens() {
        return acknowledgedCreditTokens;
    }

    /** Commits through an instance of a place and waits for the answer. */
    ControlOutcome commit(String place, Command command) {
        AtomicReference<ControlOutcome> answer = commitAsync(place, command);
        time.runFor(OPERATOR_TIMEOUT_MILLIS + 500);
        return answer.get();
    }

    AtomicReference<ControlOutcome> commitAsync(String place, Command command) {
        AtomicReference<ControlOutcome> answer = new AtomicReference<>();
        EntryInstance entry = runningEntryIn(place);
        entry.process()
                .run(
                        () ->
                                entry.entry()
                                        .control()
                                        .commit(command, OPERATOR_TIMEOUT_MILLIS, answer::set));
        return answer;
    }

    ControlOutcome credit(String place, String id, String budget, long tokens) {
        maxCreditedTokens += tokens;
        ControlOutcome outcome = commit(place, new Credit(id, budget, tokens, List.of(), "op", 1));
        if (outcome.code() == ResultCode.OK) {
            acknowledgedCreditTokens += tokens;
        } else if (outcome.code() != ResultCode.CONTROL_UNREACHABLE) {
            maxCreditedTokens -= tokens;
        }
        return outcome;
    }

    /** Sends a credit again; it must not count twice. */
    ControlOutcome resendCredit(String place, String id, String budget, long tokens) {
        return commit(place, new Credit(id, budget, tokens, List.of(), "op", 1));
    }

    ApplyRules ruleChange(String changeId, long expected, String line) {
        RuleDelta delta = new RuleDelta(List.of(line), List.of());
        return new ApplyRules(changeId, line.hashCode(), expected, delta, "op", 1);
    }

    RetryingCall startCall(
            String customer, boolean mayRepeat, long tokens, int firstEntry, int tries) {
        RetryingCall call =
                new RetryingCall(
                        this,
                        customer,
                        "b",
                        "k" + ++lastKeyNumber,
                        mayRepeat,
                        tokens,
                        firstEntry,
                        tries);
        calls.add(call);
        callsByKey.put(call.key, call);
        time.schedule(0, call::send);
        return call;
    }

    /** Sends calls at random times within a span, from random places. */
    void scheduleCalls(int count, long spanMillis, double postings) {
        for (int i = 0; i < count; i++) {
            boolean mayRepeat = random.nextDouble() >= postings;
            int firstEntry = random.nextInt(entries.size());
            long tokens = 5 + random.nextInt(20);
            long at = random.nextInt((int) spanMillis);
            time.schedule(at, () -> startCall("c", mayRepeat, tokens, firstEntry, 5));
        }
    }
}
