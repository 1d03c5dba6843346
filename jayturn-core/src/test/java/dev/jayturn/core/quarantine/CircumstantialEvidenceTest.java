package dev.jayturn.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Ends of upstreams that show neither the head of a response nor that there was none. */
final class CircumstantialEvidenceTest {
    private static final int FIFTH_CRASH = 5;
    private static final int MAX_LATER_CRASHES = 3;
    private static final int UPSTREAMS = 24;
    private static final int STEP_MILLIS = 10;
    private static final int STEPS = 6_000;
    private static final int RESTART_MILLIS = 2_000;
    private static final int VERY_LONG_WAIT_MILLIS = 12_000;

    private final VirtualTime time = new VirtualTime();
    private final Set<String> everQuarantined = new HashSet<>();
    private final Quarantine quarantine =
            newQuarantine(
                    new VirtualProcess("entry", time, new VirtualNetwork(time, new Random(1))));

    private int requests;

    private Quarantine newQuarantine(VirtualProcess process) {
        return new Quarantine(
                process,
                new EvidenceTable(),
                new QuarantineListener() {
                    @Override
                    public void onQuarantined(String suspect, int ends) {
                        everQuarantined.add(suspect);
                    }

                    @Override
                    public void onReleased(String suspect) {}
                });
    }

    private boolean cutOffWithoutHead(List<String> parts, String upstream) {
        return quarantine.onCutOff(
                new CutOff(
                        "request-" + ++requests,
                        parts,
                        List.of(),
                        upstream,
                        false,
                        false,
                        80,
                        time.nowMillis() - 80));
    }

    private boolean isRefused(String part) {
        return quarantine.refusalMillis(List.of(part)) > 0;
    }

    @Test
    void partOfDifferentRequestsThatEndWithoutAHeadIsRefusedAfterTheFifthEndAtTheLatest() {
        for (int i = 0; i < FIFTH_CRASH; i++) {
            cutOffWithoutHead(List.of("a", "bad"), "u" + i);
            cutOffWithoutHead(List.of("a", "c" + i), "u" + i);
            quarantine.onCompleted(List.of("a", "d"));
            time.runFor(500);
        }
        assertThat(isRefused("bad")).isTrue();
        assertThat(isRefused("a")).isFalse();
        assertThat(isRefused("c0")).isFalse();
    }

    @Test
    void partThatHadACompleteResponseIsNotRefusedForRequestsThatOnlyWaited() {
        quarantine.onCompleted(List.of("a"));
        for (int i = 0; i < 12; i++) {
            cutOffWithoutHead(List.of("a", "own" + i), "u" + i);
            time.runFor(500);
        }
        assertThat(isRefused("a")).isFalse();
    }

    @Test
    void instanceThatHasSeenACompleteResponseClearsWhatOthersHaveRecorded() {
        EvidenceTable other = new EvidenceTable();
        quarantine.onCompleted(List.of("a"));
        time.runFor(1_000);
        for (int i = 0; i < FIFTH_CRASH; i++) {
            other.addCircumstantialEnd("a", "u" + i, time.nowMillis(), "r" + i, time.nowMillis());
            time.runFor(500);
        }
        List<PartEvidence> answer = new ArrayList<>();
        EvidenceTable own = new EvidenceTable();
        assertThat(other.isCondemned("a")).isTrue();
        Quarantine knowing =
                new Quarantine(
                        new VirtualProcess(
                                "knowing", time, new VirtualNetwork(time, new Random(2))),
                        own,
                        new QuarantineListener() {
                            @Override
                            public void onQuarantined(String suspect, int ends) {}

                            @Override
                            public void onReleased(String suspect) {}
                        });
        knowing.setSharing(
                changed -> answer.addAll(own.evidence(new ArrayList<>(changed), time.nowMillis())));
        knowing.onCompleted(List.of("a"));
        knowing.onShare(new EvidenceShare("other", other.evidence(List.of("a"), time.nowMillis())));
        other.merge(new EvidenceShare("knowing", answer), time.nowMillis());
        assertThat(other.isCondemned("a")).isFalse();
    }

    @Test
    void certainEndReplacesACircumstantialOneOfTheSameUpstreamInAnyOrder() {
        EvidenceTable certain = new EvidenceTable();
        EvidenceTable circumstantial = new EvidenceTable();
        for (int i = 0; i < EvidenceTable.QUARANTINE_ENDS; i++) {
            long millis = 1_000L * i;
            certain.addEnd("p", "u" + i, millis, "r" + i, millis);
            circumstantial.addCircumstantialEnd("p", "u" + i, millis, "s" + i, millis);
        }
        assertThat(circumstantial.isCondemned("p")).isFalse();
        EvidenceShare certainShare = new EvidenceShare("x", certain.evidence(List.of("p"), 3_000));
        EvidenceShare otherShare =
                new EvidenceShare("y", circumstantial.evidence(List.of("p"), 3_000));
        certain.merge(otherShare, 3_000);
        circumstantial.merge(certainShare, 3_000);
        assertThat(certain.isCondemned("p")).isTrue();
        assertThat(circumstantial.isCondemned("p")).isTrue();
    }

    @Test
    void requestWithAPartThatIsBlamedRepeatedlyIsNotSentAgain() {
        assertThat(cutOffWithoutHead(List.of("bad"), "u0")).isTrue();
        time.runFor(500);
        assertThat(cutOffWithoutHead(List.of("bad"), "u1")).isFalse();
    }

    private boolean cutOffInASession(String session, String upstream, boolean beforeAnEvent) {
        return quarantine.onCutOff(
                new CutOff(
                        "request-" + ++requests,
                        List.of("a"),
                        List.of(session),
                        upstream,
                        beforeAnEvent,
                        beforeAnEvent,
                        80,
                        time.nowMillis() - 80));
    }

    @Test
    void partOfASessionIsRefusedWhenItsRequestsEndOneUpstreamAfterTheOther() {
        for (int i = 0; i < EvidenceTable.CIRCUMSTANTIAL_QUARANTINE_ENDS; i++) {
            quarantine.onCompleted(List.of("a"));
            cutOffInASession("session", "u" + i, i % 2 == 0);
            time.runFor(500);
            quarantine.onCompleted(List.of("a"));
        }
        assertThat(isRefused("session")).isTrue();
        assertThat(isRefused("a")).isFalse();
    }

    @Test
    void completeResponseInASessionClearsItsPart() {
        for (int i = 0; i < 12; i++) {
            cutOffInASession("session", "u" + i, true);
            time.runFor(500);
            quarantine.onCompleted(List.of("a"));
            if (i % 2 == 1) {
                quarantine.clear(List.of("session"));
            }
        }
        assertThat(isRefused("session")).isFalse();
    }

    @Test
    void newPartOfItsOwnDoesNotKeepARequestFromASecondUpstream() {
        quarantine.onCompleted(List.of("a"));
        assertThat(cutOffInASession("fresh", "u0", true)).isTrue();
    }

    /** One request of the simulation. */
    private record Running(
            String request, List<String> parts, long sentMillis, long endMillis, boolean crashes) {}

    /** Upstreams that run requests; each end cuts off what it runs, in any state. */
    private final class Simulation {
        private final Random random;
        private final List<List<Running>> upstreams = new ArrayList<>();
        private final List<Long> downUntil = new ArrayList<>();
        private final List<Integer> incarnations = new ArrayList<>();
        private final List<Long> crashMillis = new ArrayList<>();
        private final List<Long> crashingSentMillis = new ArrayList<>();
        private int refused;
        private final int maxWaitMillis;

        Simulation(long seed, int maxWaitMillis) {
            this.maxWaitMillis = maxWaitMillis;
            random = new Random(seed);
            for (int i = 0; i < UPSTREAMS; i++) {
                upstreams.add(new ArrayList<>());
                downUntil.add(0L);
                incarnations.add(0);
            }
        }

        private List<String> soundParts(int number) {
            // Few documents are common, and many come a few times only.
            int document = (int) (400 * Math.pow(random.nextDouble(), 3));
            return List.of("prefix", "document" + document, "fresh" + number / 4);
        }

        void send(boolean crashing) {
            int upstream = random.nextInt(UPSTREAMS);
            long now = time.nowMillis();
            if (now < downUntil.get(upstream)) {
                return;
            }
            requests++;
            List<String> parts =
                    crashing
                            ? List.of("prefix", "bad", "document" + random.nextInt(400))
                            : soundParts(requests);
            if (quarantine.refusalMillis(parts) > 0) {
                refused += crashing ? 0 : 1;
                return;
            }
            long duration = crashing ? 80 + random.nextInt(200) : 300 + random.nextInt(1_700);
            if (maxWaitMillis > 0) {
                duration += maxWaitMillis / 4 + random.nextInt(3 * maxWaitMillis / 4);
            }
            upstreams
                    .get(upstream)
                    .add(new Running("r" + requests, parts, now, now + duration, crashing));
        }

        void run() {
            long now = time.nowMillis();
            for (int i = 0; i < UPSTREAMS; i++) {
                for (Running running : List.copyOf(upstreams.get(i))) {
                    if (running.endMillis() > now) {
                        continue;
                    }
                    if (running.crashes()) {
                        crashMillis.add(now);
                        crashingSentMillis.add(running.sentMillis());
                        end(i);
                        break;
                    }
                    upstreams.get(i).remove(running);
                    quarantine.onCompleted(running.parts());
                }
            }
        }

        void assertFewAreSentAfterTheFifthCrash() {
            assertThat(crashMillis).hasSizeGreaterThanOrEqualTo(EvidenceTable.QUARANTINE_ENDS);
            if (crashMillis.size() > FIFTH_CRASH) {
                long fifth = crashMillis.get(FIFTH_CRASH - 1);
                assertThat(crashingSentMillis.stream().filter(sent -> sent > fifth).count())
                        .as("%s sent at %s", crashMillis, crashingSentMillis)
                        .isLessThanOrEqualTo(MAX_LATER_CRASHES);
            }
        }

        void end(int upstream) {
            long now = time.nowMillis();
            String id = "u" + upstream + "#" + incarnations.get(upstream);
            for (Running running : upstreams.get(upstream)) {
                long ran = now - running.sentMillis();
                quarantine.onCutOff(
                        new CutOff(
                                running.request(),
                                running.parts(),
                                List.of(),
                                id,
                                false,
                                false,
                                ran,
                                running.sentMillis()));
            }
            upstreams.get(upstream).clear();
            incarnations.set(upstream, incarnations.get(upstream) + 1);
            downUntil.set(upstream, now + RESTART_MILLIS);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void noSoundPartIsRefusedWhileUpstreamsEndByThemselves(long seed) {
        Simulation simulation = new Simulation(seed, 0);
        for (int step = 0; step < STEPS; step++) {
            simulation.send(false);
            simulation.run();
            if (step % 20 == 0) {
                simulation.end(simulation.random.nextInt(UPSTREAMS));
            }
            time.runFor(STEP_MILLIS);
        }
        assertThat(simulation.refused).isZero();
        assertThat(everQuarantined).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void crashingPartIsRefusedAndNoSoundOneBesideIt(long seed) {
        Simulation simulation = new Simulation(seed, 0);
        for (int step = 0; step < STEPS; step++) {
            simulation.send(step > 500 && simulation.random.nextInt(100) == 0);
            simulation.run();
            time.runFor(STEP_MILLIS);
        }
        simulation.assertFewAreSentAfterTheFifthCrash();
        assertThat(simulation.refused).isZero();
        assertThat(everQuarantined).containsExactly("bad");
    }

    private void assertNoSoundPartIsRefusedBehindQueues(long seed, int maxWaitMillis) {
        Simulation simulation = new Simulation(seed, maxWaitMillis);
        for (int step = 0; step < STEPS; step++) {
            simulation.send(false);
            simulation.run();
            if (step % 100 == 0) {
                simulation.end(simulation.random.nextInt(UPSTREAMS));
            }
            time.runFor(STEP_MILLIS);
        }
        assertThat(simulation.refused).isZero();
        assertThat(everQuarantined).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "1, 4000",
        "2, 4000",
        "3, 4000",
        "4, 4000",
        "5, 4000",
        "6, 8000",
        "7, 8000",
        "8, 8000",
        "9, 8000",
        "10, 8000"
    })
    void noSoundPartIsRefusedWhileUpstreamsWithLongQueuesEndByThemselves(
            long seed, int maxWaitMillis) {
        assertNoSoundPartIsRefusedBehindQueues(seed, maxWaitMillis);
    }

    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void noSoundPartIsRefusedWhileUpstreamsWithVeryLongQueuesEndByThemselves(long seed) {
        assertNoSoundPartIsRefusedBehindQueues(seed, VERY_LONG_WAIT_MILLIS);
    }

    private void assertCrashingPartIsRefusedBehindQueues(long seed, int maxWaitMillis) {
        Simulation simulation = new Simulation(seed, maxWaitMillis);
        for (int step = 0; step < 2 * STEPS; step++) {
            simulation.send(step > 2_000 && simulation.random.nextInt(200) == 0);
            simulation.run();
            time.runFor(STEP_MILLIS);
        }
        simulation.assertFewAreSentAfterTheFifthCrash();
        assertThat(simulation.refused).isZero();
        assertThat(everQuarantined).containsExactly("bad");
    }

    @ParameterizedTest
    @CsvSource({
        "1, 4000",
        "2, 4000",
        "3, 4000",
        "4, 4000",
        "5, 4000",
        "6, 8000",
        "7, 8000",
        "8, 8000",
        "9, 8000",
        "10, 8000"
    })
    void crashingPartIsRefusedAlthoughItsRequestsWaitInLongQueues(long seed, int maxWaitMillis) {
        assertCrashingPartIsRefusedBehindQueues(seed, maxWaitMillis);
    }

    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void crashingPartIsRefusedAlthoughItsRequestsWaitInVeryLongQueues(long seed) {
        assertCrashingPartIsRefusedBehindQueues(seed, VERY_LONG_WAIT_MILLIS);
    }
}
