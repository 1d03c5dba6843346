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

/** The words of the scenarios. */
public final class FleetSteps {
    private static final long MILLIS = 1_000;
    private static final long REST_MILLIS = 60_000;
    private static final int CALLS_PER_SECOND = 6;
    private static final double POSTINGS = 0.3;

    private Fleet fleet;
    private long accepted;
    private int changes;
    private ApplyRules lastChange;
    private ControlOutcome lastOutcome;
    private List<ControlOutcome> raced = new ArrayList<>();
    private String lastCredit = "";
    private long lastAmount;
    private FakeUpstream left;
    private long leftMillis;
    private long heldBack;

    @Given("a fleet with seed {long}")
    public void fleet(long seed) {
        fleet = new Fleet(seed, true);
    }

    @Given("a fleet with seed {long} whose upstreams keep no tombstones")
    public void fleetWithoutTombstones(long seed) {
        fleet = new Fleet(seed, false);
    }

    @Given("a credit of {long} tokens")
    public void credit(long tokens) {
        creditAt(tokens, "kokura");
    }

    @When("a credit of {long} tokens is made in {word}")
    public void creditAt(long tokens, String place) {
        lastCredit = "credit-" + fleet.time().nowMillis();
        lastAmount = tokens;
        lastOutcome = fleet.credit(place, lastCredit, "b", tokens);
    }

    @When("the same credit is sent again in {word}")
    public void creditAgain(String place) {
        ControlOutcome again = fleet.creditAgain(place, lastCredit, "b", lastAmount);
        assertThat(again.code()).isEqualTo(ResultCode.OK);
    }

    @Given("messages are lost, repeated and late")
    public void faults() {
        fleet.network().setFaults(0.03, 0.05, 40);
    }

    @Given("the link between regions is slow but not cut")
    public void slowLink() {
        fleet.network().delayMillis(180);
    }

    @When("{word} is cut off")
    public void cut(String place) {
        fleet.network().isolate(place);
    }

    @When("the cut heals")
    public void heal() {
        fleet.network().heal();
    }

    @When("calls arrive for {int} seconds")
    public void traffic(int seconds) {
        fleet.traffic(seconds * CALLS_PER_SECOND, seconds * MILLIS, POSTINGS);
    }

    @When("calls that may repeat arrive for {int} seconds")
    public void repeatableTraffic(int seconds) {
        fleet.traffic(seconds * CALLS_PER_SECOND, seconds * MILLIS, 0);
    }

    @When("{int} seconds pass")
    public void pass(int seconds) {
        fleet.time().runFor(seconds * MILLIS);
    }

    @When("{int} milliseconds pass")
    public void passMillis(int millis) {
        fleet.time().runFor(millis);
    }

    @When("entry instance {int} dies")
    public void entryDies(int index) {
        fleet.entries().get(index).kill();
    }

    @When("entry instance {int} restarts")
    public void entryRestarts(int index) {
        fleet.entries().get(index).start();
    }

    @When("entry instance {int} freezes for {int} seconds")
    public void entryFreezes(int index, int seconds) {
        fleet.entries().get(index).process().pause(seconds * MILLIS);
    }

    @When("the control instance of {word} dies")
    public void controlDies(String place) {
        fleet.control(place).kill();
    }

    @When("the control instance of {word} restarts")
    public void controlRestarts(String place) {
        fleet.control(place).start(false);
    }

    @When("the control instance of {word} freezes for {int} seconds")
    public void controlFreezes(String place, int seconds) {
        fleet.control(place).freeze(seconds * MILLIS);
    }

    @When("the disk of the control instance of {word} is lost and it restarts")
    public void diskLost(String place) {
        ControlInstance control = fleet.control(place);
        control.kill();
        fleet.invariants().noteLost(control);
        control.emptyDisk();
        control.start(false);
    }

    @When("the disk of the control instance of {word} takes no more writes")
    public void diskFull(String place) {
        fleet.control(place).breakDisk();
    }

    @When("the leader dies")
    public void leaderDies() {
        fleet.leader().kill();
    }

    @When("every control instance that is down restarts")
    public void allRestart() {
        for (ControlInstance control : fleet.controls()) {
            if (!control.isAlive()) {
                control.start(false);
            }
        }
    }

    @When("{int} changes of the rules are made in {word}")
    public void changeRules(int count, String place) {
        for (int i = 0; i < count; i++) {
            change(place);
            assertThat(lastOutcome.code()).isEqualTo(ResultCode.OK);
        }
    }

    private void change(String place) {
        String line = "customer c" + changes % 7 + " priority=" + changes % 9 + " # operator";
        lastChange = fleet.rules("change-" + ++changes, accepted, line);
        AtomicReference<ControlOutcome> answer = fleet.commitLater(place, lastChange);
        for (int i = 0; i < 300 && answer.get() == null; i++) {
            fleet.time().runFor(20);
        }
        lastOutcome = answer.get();
        if (lastOutcome.code() == ResultCode.OK) {
            accepted = lastOutcome.version();
        }
    }

    @When("a change of the rules is tried in {word}")
    public void tryChange(String place) {
        change(place);
    }

    @When("a change of the rules loses its answer in {word} and is sent again in {word}")
    public void resent(String place, String other) {
        lastChange = fleet.rules("change-" + ++changes, accepted, "customer c priority=1 # op");
        fleet.commitLater(place, lastChange);
        fleet.time().runFor(60);
        ControlOutcome first = fleet.commit(other, lastChange);
        ControlOutcome second = fleet.commit(place, lastChange);
        assertThat(first.code()).isEqualTo(ResultCode.OK);
        assertThat(second).isEqualTo(first);
        accepted = first.version();
    }

    @When("two operators change the rules under one expected version in {word} and {word}")
    public void race(String place, String other) {
        ApplyRules left = fleet.rules("race-l" + ++changes, accepted, "customer l # left");
        ApplyRules right = fleet.rules("race-r" + ++changes, accepted, "customer r # right");
        AtomicReference<ControlOutcome> first = fleet.commitLater(place, left);
        AtomicReference<ControlOutcome> second = fleet.commitLater(other, right);
        fleet.time().runFor(8 * MILLIS);
        raced = List.of(first.get(), second.get());
    }

    @Then("exactly one of them wins and the other sees the version in force")
    public void oneWins() {
        assertThat(raced)
                .extracting(ControlOutcome::code)
                .containsExactlyInAnyOrder(ResultCode.OK, ResultCode.VERSION_CONFLICT);
        accepted++;
        assertThat(raced).allMatch(outcome -> outcome.version() == accepted);
    }

    @Then("the change is not accepted")
    public void notAccepted() {
        assertThat(lastOutcome.code()).isEqualTo(ResultCode.CONTROL_UNREACHABLE);
    }

    @Then("every entry instance holds the accepted version within {int} seconds")
    public void versionEverywhere(int seconds) {
        fleet.time().runFor(seconds * MILLIS);
        for (EntryInstance entry : fleet.entries()) {
            if (entry.isAlive()) {
                assertThat(entry.hub().rules().version()).as(entry.name).isEqualTo(accepted);
            }
        }
    }

    @When("the upstream {int} leaves")
    public void leave(int index) {
        left = fleet.upstreams().get(index);
        left.announceLeaving();
        leftMillis = fleet.time().nowMillis();
    }

    @Then("it gets no new call after {int} seconds")
    public void noNewCall(int seconds) {
        fleet.time().runFor(REST_MILLIS);
        assertThat(left.startCount()).isPositive();
        assertThat(left.lastStartMillis()).isLessThanOrEqualTo(leftMillis + seconds * MILLIS);
    }

    @When("calls take {int} milliseconds")
    public void duration(int millis) {
        fleet.upstreams().forEach(upstream -> upstream.setDurationMillis(millis));
    }

    @When("the upstream {int} falls silent")
    public void silent(int index) {
        fleet.upstreams().get(index).stopAnswering();
    }

    @When("the upstream {int} dies")
    public void upstreamDies(int index) {
        fleet.upstreams().get(index).crash();
    }

    @When("entry instance {int} drains")
    public void drain(int index) {
        EntryInstance entry = fleet.entries().get(index);
        for (int i = 0; i < 1_000 && entry.entry().openCalls() == 0; i++) {
            fleet.time().runFor(10);
        }
        heldBack = entry.entry().openCalls();
        assertThat(heldBack).as("open calls when the drain starts").isPositive();
        entry.entry().drain();
    }

    @Then("entry instance {int} is idle within {int} seconds and can end")
    public void idle(int index, int seconds) {
        EntryInstance entry = fleet.entries().get(index);
        fleet.time().runFor(seconds * MILLIS);
        assertThat(entry.entry().isIdle()).isTrue();
        entry.kill();
    }

    @When("every entry instance drains, ends and restarts in turn")
    public void drainInTurn() {
        for (EntryInstance entry : fleet.entries()) {
            entry.entry().drain();
            fleet.time().runFor(5 * MILLIS);
            assertThat(entry.entry().isIdle()).as(entry.name).isTrue();
            entry.kill();
            entry.start();
            fleet.time().runFor(3 * MILLIS);
        }
    }

    @Then("every call was answered")
    public void allAnswered() {
        fleet.time().runFor(REST_MILLIS);
        assertThat(fleet.calls()).isNotEmpty().allMatch(CallerCall::isAnswered);
    }

    @Then("some calls were answered")
    public void someAnswered() {
        assertThat(fleet.calls()).anyMatch(CallerCall::isAnswered);
    }

    @Then("no call was refused as spent")
    public void noFalseRefusal() {
        assertThat(refusals())
                .extracting(Refusal::code)
                .doesNotContain(ResultCode.BUDGET_SPENT, ResultCode.BUDGET_UNREACHABLE);
    }

    @Then("every entry instance uses the control instance of its own data centre")
    public void ownHub() {
        for (EntryInstance entry : fleet.entries()) {
            assertThat(entry.hub().hub()).as(entry.name).isEqualTo(entry.dataCentre + "-c");
        }
    }

    @Then("no call was refused for want of an upstream")
    public void noUpstreamMissing() {
        assertThat(refusals()).extracting(Refusal::code).doesNotContain(ResultCode.NO_UPSTREAM);
    }

    @Then("some calls were refused as spent")
    public void someSpent() {
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
        List<Refusal> all = new ArrayList<>();
        fleet.calls().forEach(call -> all.addAll(call.refusals));
        return all;
    }

    @Then("at rest every answer is on exactly one bill and nothing is reserved")
    public void atRest() {
        fleet.network().setFaults(0, 0, 5);
        fleet.time().runFor(REST_MILLIS);
        fleet.invariants().checkAtRest();
        assertThat(fleet.invariants().steps()).isPositive();
    }

    @Then("at rest no call was refused as not run that had run")
    public void noFalseNotRun() {
        assertThat(refusals()).isNotEmpty();
        assertThat(fleet.calls()).noneMatch(CallerCall::hasFalseNotRun);
    }

    @Then("the invariants held at every step")
    public void held() {
        fleet.time().runFor(REST_MILLIS);
        fleet.invariants().check();
        assertThat(fleet.invariants().steps()).isPositive();
    }

    @Then("the control log has {int} voters and a leader")
    public void voters(int count) {
        fleet.time().runFor(10 * MILLIS);
        ControlInstance leader = fleet.leader();
        assertThat(leader).isNotNull();
        assertThat(leader.node().raft().members()).hasSize(count);
        assertThat(leader.node().raft().members()).allMatch(member -> member.voter());
    }

    @Then("the credit is in the log exactly once")
    public void creditOnce() {
        assertThat(fleet.leader().state().credited("b")).isEqualTo(fleet.credited());
    }
}
