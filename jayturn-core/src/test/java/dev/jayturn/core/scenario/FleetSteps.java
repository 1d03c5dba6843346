package dev.jayturn.core.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.control.ApplyRules;
import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.fake.FakeUpstream;
import dev.jayturn.core.result.NotRun;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** Step definitions of the scenarios in the features folder. */
public final class FleetSteps {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long QUIESCE_MILLIS = 60_000;
    private static final int CALLS_PER_SECOND = 6;
    private static final double NON_REPEATABLE_FRACTION = 0.3;

    private SimulatedFleet fleet;
    private long acceptedVersion;
    private int changeCount;
    private ApplyRules lastChange;
    private ControlOutcome lastOutcome;
    private List<ControlOutcome> concurrentOutcomes = new ArrayList<>();
    private String lastCreditId = "";
    private long lastCreditTokens;
    private FakeUpstream leavingUpstream;
    private long leaveMillis;
    private long openCallsAtDrain;

    @Given("a fleet with seed {long}")
    public void fleet(long seed) {
        fleet = new SimulatedFleet(seed, true);
    }

    @Given("a fleet with seed {long} whose upstreams keep no tombstones")
    public void fleetWithoutTombstones(long seed) {
        fleet = new SimulatedFleet(seed, false);
    }

    @Given("a credit of {long} tokens")
    public void credit(long tokens) {
        creditAt(tokens, "kokura");
    }

    @When("a credit of {long} tokens is added in {word}")
    public void creditAt(long tokens, String dataCentre) {
        lastCreditId = "credit-" + fleet.time().nowMillis();
        lastCreditTokens = tokens;
        lastOutcome = fleet.credit(dataCentre, lastCreditId, "b", tokens);
    }

    @When("the same credit is resent in {word}")
    public void resendCredit(String dataCentre) {
        ControlOutcome outcome =
                fleet.resendCredit(dataCentre, lastCreditId, "b", lastCreditTokens);
        assertThat(outcome.code()).isEqualTo(ResultCode.OK);
    }

    @Given("messages are lost, duplicated and delayed")
    public void faults() {
        fleet.network().setFaults(0.03, 0.05, 40);
    }

    @Given("the links between data centres are slow but not partitioned")
    public void slowLink() {
        fleet.network().delayMillis(180);
    }

    @When("a partition isolates {word}")
    public void isolate(String dataCentreOrInstance) {
        fleet.network().isolate(dataCentreOrInstance);
    }

    @When("the partition heals")
    public void heal() {
        fleet.network().heal();
    }

    @When("calls arrive for {int} seconds")
    public void scheduleCalls(int seconds) {
        fleet.scheduleCalls(
                seconds * CALLS_PER_SECOND, seconds * MILLIS_PER_SECOND, NON_REPEATABLE_FRACTION);
    }

    @When("repeatable calls arrive for {int} seconds")
    public void scheduleRepeatableCalls(int seconds) {
        fleet.scheduleCalls(seconds * CALLS_PER_SECOND, seconds * MILLIS_PER_SECOND, 0);
    }

    @When("{int} seconds pass")
    public void passSeconds(int seconds) {
        fleet.time().runFor(seconds * MILLIS_PER_SECOND);
    }

    @When("{int} milliseconds pass")
    public void passMillis(int millis) {
        fleet.time().runFor(millis);
    }

    @When("entry instance {int} crashes")
    public void entryCrashes(int index) {
        fleet.entries().get(index).crash();
    }

    @When("entry instance {int} restarts")
    public void entryRestarts(int index) {
        fleet.entries().get(index).start();
    }

    @When("entry instance {int} pauses for {int} seconds")
    public void entryPauses(int index, int seconds) {
        fleet.entries().get(index).process().pause(seconds * MILLIS_PER_SECOND);
    }

    @When("the control instance of {word} crashes")
    public void controlCrashes(String dataCentre) {
        fleet.control(dataCentre).crash();
    }

    @When("the control instance of {word} restarts")
    public void controlRestarts(String dataCentre) {
        fleet.control(dataCentre).start(false);
    }

    @When("the control instance of {word} pauses for {int} seconds")
    public void controlPauses(String dataCentre, int seconds) {
        fleet.control(dataCentre).pause(seconds * MILLIS_PER_SECOND);
    }

    @When("the disk of the control instance of {word} is lost and it restarts")
    public void diskLost(String dataCentre) {
        ControlInstance control = fleet.control(dataCentre);
        control.crash();
        fleet.invariants().recordDiskLoss(control);
        control.replaceDisks();
        control.start(false);
    }

    @When("the disk of the control instance of {word} fails every sync")
    public void diskSyncsFail(String dataCentre) {
        fleet.control(dataCentre).failSyncs();
    }

    @When("the leader crashes")
    public void leaderCrashes() {
        fleet.leader().crash();
    }

    @When("every control instance that is down restarts")
    public void stoppedControlsRestart() {
        for (ControlInstance control : fleet.controls()) {
            if (!control.isRunning()) {
                control.start(false);
            }
        }
    }

    @When("{int} rule changes are made in {word}")
    public void commitRuleChanges(int count, String dataCentre) {
        for (int i = 0; i < count; i++) {
            commitRuleChange(dataCentre);
            assertThat(lastOutcome.code()).isEqualTo(ResultCode.OK);
        }
    }

    private void commitRuleChange(String dataCentre) {
        String line =
                "customer c" + changeCount % 7 + " priority=" + changeCount % 9 + " # operator";
        lastChange = fleet.ruleChange("change-" + ++changeCount, acceptedVersion, line);
        AtomicReference<ControlOutcome> answer = fleet.commitAsync(dataCentre, lastChange);
        for (int i = 0; i < 300 && answer.get() == null; i++) {
            fleet.time().runFor(20);
        }
        lastOutcome = answer.get();
        if (lastOutcome.code() == ResultCode.OK) {
            acceptedVersion = lastOutcome.version();
        }
    }

    @When("a rule change is attempted in {word}")
    public void attemptRuleChange(String dataCentre) {
        commitRuleChange(dataCentre);
    }

    @When("the answer to a rule change is lost in {word} and the change is resent in {word}")
    public void resendRuleChange(String dataCentre, String otherDataCentre) {
        lastChange =
                fleet.ruleChange(
                        "change-" + ++changeCount, acceptedVersion, "customer c priority=1 # op");
        fleet.commitAsync(dataCentre, lastChange);
        fleet.time().runFor(60);
        ControlOutcome first = fleet.commit(otherDataCentre, lastChange);
        ControlOutcome second = fleet.commit(dataCentre, lastChange);
        assertThat(first.code()).isEqualTo(ResultCode.OK);
        assertThat(second).isEqualTo(first);
        acceptedVersion = first.version();
    }

    @When("two operators change the rules with the same expected version in {word} and {word}")
    public void changeRulesConcurrently(String dataCentre, String otherDataCentre) {
        ApplyRules left =
                fleet.ruleChange("race-l" + ++changeCount, acceptedVersion, "customer l # left");
        ApplyRules right =
                fleet.ruleChange("race-r" + ++changeCount, acceptedVersion, "customer r # right");
        AtomicReference<ControlOutcome> first = fleet.commitAsync(dataCentre, left);
        AtomicReference<ControlOutcome> second = fleet.commitAsync(otherDataCentre, right);
        fleet.time().runFor(8 * MILLIS_PER_SECOND);
        concurrentOutcomes = List.of(first.get(), second.get());
    }

    @Then("exactly one change is accepted and the other gets the current version")
    public void exactlyOneAccepted() {
        assertThat(concurrentOutcomes)
                .extracting(ControlOutcome::code)
                .containsExactlyInAnyOrder(ResultCode.OK, ResultCode.VERSION_CONFLICT);
        acceptedVersion++;
        assertThat(concurrentOutcomes).allMatch(outcome -> outcome.version() == acceptedVersion);
    }

    @Then("the change is not accepted")
    public void changeNotAccepted() {
        assertThat(lastOutcome.code()).isEqualTo(ResultCode.CONTROL_UNREACHABLE);
    }

    @Then("every entry instance has the accepted version within {int} seconds")
    public void versionReachesAllEntries(int seconds) {
        fleet.time().runFor(seconds * MILLIS_PER_SECOND);
        for (EntryInstance entry : fleet.entries()) {
            if (entry.isRunning()) {
                assertThat(entry.hub().rules().version()).as(entry.name).isEqualTo(acceptedVersion);
            }
        }
    }

    @When("upstream {int} announces that it is leaving")
    public void upstreamLeaves(int index) {
        leavingUpstream = fleet.upstreams().get(index);
        leavingUpstream.announceLeaving();
        leaveMillis = fleet.time().nowMillis();
    }

    @Then("the leaving upstream gets no new call after {int} seconds")
    public void noNewCall(int seconds) {
        fleet.time().runFor(QUIESCE_MILLIS);
        assertThat(leavingUpstream.startCount()).isPositive();
        assertThat(leavingUpstream.lastStartMillis())
                .isLessThanOrEqualTo(leaveMillis + seconds * MILLIS_PER_SECOND);
    }

    @When("calls take {int} milliseconds")
    public void setCallDuration(int millis) {
        fleet.upstreams().forEach(upstream -> upstream.setDurationMillis(millis));
    }

    @When("upstream {int} stops answering")
    public void upstreamStopsAnswering(int index) {
        fleet.upstreams().get(index).stopAnswering();
    }

    @When("upstream {int} crashes")
    public void upstreamCrashes(int index) {
        fleet.upstreams().get(index).crash();
    }

    @When("entry instance {int} drains")
    public void drain(int index) {
        EntryInstance entry = fleet.entries().get(index);
        for (int i = 0; i < 1_000 && entry.entry().openCalls() == 0; i++) {
            fleet.time().runFor(10);
        }
        openCallsAtDrain = entry.entry().openCalls();
        assertThat(openCallsAtDrain).as("open calls when the drain starts").isPositive();
        entry.entry().drain();
    }

    @Then("entry instance {int} is idle within {int} seconds and stops")
    public void entryBecomesIdle(int index, int seconds) {
        EntryInstance entry = fleet.entries().get(index);
        fleet.time().runFor(seconds * MILLIS_PER_SECOND);
        assertThat(entry.entry().isIdle()).isTrue();
        entry.crash();
    }

    @When("every entry instance drains, stops and restarts in turn")
    public void drainInTurn() {
        for (EntryInstance entry : fleet.entries()) {
            entry.entry().drain();
            fleet.time().runFor(5 * MILLIS_PER_SECOND);
            assertThat(entry.entry().isIdle()).as(entry.name).isTrue();
            entry.crash();
            entry.start();
            fleet.time().runFor(3 * MILLIS_PER_SECOND);
        }
    }

    @Then("every call was answered")
    public void allAnswered() {
        fleet.time().runFor(QUIESCE_MILLIS);
        assertThat(fleet.calls()).isNotEmpty().allMatch(RetryingCall::isAnswered);
    }

    @Then("some calls were answered")
    public void someAnswered() {
        assertThat(fleet.calls()).anyMatch(RetryingCall::isAnswered);
    }

    @Then("no call was refused for lack of budget")
    public void noBudgetRefusal() {
        assertThat(refusals())
                .extracting(Refusal::code)
                .doesNotContain(ResultCode.BUDGET_SPENT, ResultCode.BUDGET_UNREACHABLE);
    }

    @Then("every entry instance uses the control instance of its own data centre")
    public void entriesUseLocalControl() {
        for (EntryInstance entry : fleet.entries()) {
            assertThat(entry.hub().hub()).as(entry.name).isEqualTo(entry.dataCentre + "-c");
        }
    }

    @Then("no call was refused for lack of an upstream")
    public void noUpstreamRefusal() {
        assertThat(refusals()).extracting(Refusal::code).doesNotContain(ResultCode.NO_UPSTREAM);
    }

    @Then("some calls were refused for lack of budget")
    public void someBudgetRefusals() {
        assertThat(refusals())
                .anyMatch(
                        refusal ->
                                refusal.code() == ResultCode.BUDGET_SPENT
                                        || refusal.code() == ResultCode.BUDGET_UNREACHABLE);
        assertThat(refusals())
                .filteredOn(refusal -> refusal.code() == ResultCode.BUDGET_SPENT)
                .allMatch(refusal -> refusal.notRun() == NotRun.TRUE);
    }

    private List<Refusal> refusals() {
        List<Refusal> refusals = new ArrayList<>();
        fleet.calls().forEach(call -> refusals.addAll(call.refusals));
        return refusals;
    }

    @Then("once the fleet is idle, every answer is on exactly one bill and nothing is reserved")
    public void billsAreExact() {
        fleet.network().setFaults(0, 0, 5);
        fleet.time().runFor(QUIESCE_MILLIS);
        fleet.invariants().checkWhenIdle();
        assertThat(fleet.invariants().checkCount()).isPositive();
    }

    @Then("no call that ran was refused as not run")
    public void noFalseNotRunRefusal() {
        assertThat(refusals()).isNotEmpty();
        assertThat(fleet.calls()).noneMatch(RetryingCall::hasFalseNotRunRefusal);
    }

    @Then("the invariants held at every step")
    public void invariantsHeld() {
        fleet.time().runFor(QUIESCE_MILLIS);
        fleet.invariants().check();
        assertThat(fleet.invariants().checkCount()).isPositive();
    }

    @Then("the control log has {int} voters and a leader")
    public void voters(int count) {
        fleet.time().runFor(10 * MILLIS_PER_SECOND);
        ControlInstance leader = fleet.leader();
        assertThat(leader).isNotNull();
        assertThat(leader.node().raft().members()).hasSize(count);
        assertThat(leader.node().raft().members()).allMatch(member -> member.voter());
    }

    @Then("the credit is in the log exactly once")
    public void creditLoggedOnce() {
        assertThat(fleet.leader().state().credited("b"))
                .isEqualTo(fleet.acknowledgedCreditTokens());
    }
}
