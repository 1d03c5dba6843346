package dev.jayturn.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class QuarantineTest {
    private static final List<String> CRASHING = List.of("a", "b", "bad");
    private static final List<String> SOUND = List.of("a", "b", "c");

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("entry", time, new VirtualNetwork(time, new Random(1)));
    private final List<String> quarantined = new ArrayList<>();
    private final List<String> released = new ArrayList<>();
    private final Quarantine quarantine =
            new Quarantine(
                    process,
                    new EvidenceTable(),
                    new QuarantineListener() {
                        @Override
                        public void onQuarantined(String part, int ends) {
                            quarantined.add(part);
                        }

                        @Override
                        public void onReleased(String part) {
                            released.add(part);
                        }
                    });

    private int requests;

    /** A prompt of its own, as all prompts with a crashing part are. */
    private void crash(List<String> parts, String upstream) {
        quarantine.blame(parts, upstream, "request-" + ++requests, time.nowMillis() - 80);
        time.runFor(500);
    }

    private void crashThreeTimes() {
        for (int i = 0; i < 3; i++) {
            crash(CRASHING, "u" + i);
            quarantine.onCompleted(SOUND);
        }
    }

    @Test
    void partThatCrashesThreeUpstreamsIsRefusedAndItsNeighboursAreNot() {
        crashThreeTimes();
        assertThat(quarantined).containsExactly("bad");
        assertThat(quarantine.refusalMillis(List.of("other", "bad"))).isPositive();
        assertThat(quarantine.refusalMillis(SOUND)).isZero();
    }

    @Test
    void completeResponseBetweenCrashesClearsAPart() {
        crash(CRASHING, "u0");
        crash(CRASHING, "u1");
        quarantine.onCompleted(CRASHING);
        crash(CRASHING, "u2");
        assertThat(quarantine.refusalMillis(CRASHING)).isZero();
    }

    @Test
    void upstreamsThatEndTogetherCountOnce() {
        for (int i = 0; i < 10; i++) {
            quarantine.blame(CRASHING, "u" + i, "request-" + i, time.nowMillis() - 80);
        }
        assertThat(quarantine.refusalMillis(CRASHING)).isZero();
    }

    @Test
    void repeatedBreaksOfOneUpstreamCountOnce() {
        for (int i = 0; i < 10; i++) {
            crash(CRASHING, "u0");
        }
        assertThat(quarantine.refusalMillis(CRASHING)).isZero();
    }

    @Test
    void requestThatWasCutOffIsNotSentAgainBeforeItsPartsHaveHadCompleteResponses() {
        assertThat(quarantine.isRetryAllowed(SOUND)).isFalse();
        quarantine.onCompleted(SOUND);
        crash(CRASHING, "u0");
        assertThat(quarantine.isRetryAllowed(SOUND)).isTrue();
        assertThat(quarantine.isRetryAllowed(CRASHING)).isFalse();
    }

    @Test
    void quarantineEndsWithOneProbeAtATime() {
        crashThreeTimes();
        time.runFor(EvidenceTable.QUARANTINE_MILLIS);
        assertThat(quarantine.refusalMillis(CRASHING)).isZero();
        quarantine.onSent(CRASHING);
        assertThat(quarantine.refusalMillis(CRASHING)).isPositive();
        crash(CRASHING, "u3");
        assertThat(quarantine.refusalMillis(CRASHING))
                .isGreaterThan(EvidenceTable.QUARANTINE_MILLIS / 2);
    }

    @Test
    void probeThatIsAnsweredReleasesThePart() {
        crashThreeTimes();
        time.runFor(EvidenceTable.QUARANTINE_MILLIS);
        quarantine.onSent(CRASHING);
        quarantine.onCompleted(CRASHING);
        assertThat(released).containsExactly("bad");
        assertThat(quarantine.refusalMillis(CRASHING)).isZero();
    }

    @Test
    void partThatAnOperatorTrustsIsNotRefused() {
        crashThreeTimes();
        quarantine.setTrustedParts(List.of("bad"));
        assertThat(quarantine.refusalMillis(CRASHING)).isZero();
    }

    @Test
    void laterCrashesAreBlamedOnThePartThatIsInQuarantineAlready() {
        crashThreeTimes();
        for (int i = 3; i < 9; i++) {
            crash(List.of("bad", "rare"), "u" + i);
        }
        assertThat(quarantine.refusalMillis(List.of("rare"))).isZero();
    }

    @Test
    void completeResponsesToPromptsOfManyPartsAreRememberedUpToABound() {
        for (int i = 0; i < 100; i++) {
            List<String> parts = new ArrayList<>();
            for (int part = 0; part < 400; part++) {
                parts.add(i + "-" + part);
            }
            quarantine.onCompleted(parts);
        }
        assertThat(quarantine.rememberedParts())
                .isLessThanOrEqualTo(Quarantine.MAX_COMPLETED_PARTS);
    }

    @Test
    void evidenceOfMorePartsThanAMessageHoldsIsSentInSeveral() {
        VirtualNetwork network = new VirtualNetwork(time, new Random(1));
        VirtualProcess sender = new VirtualProcess("sender", time, network);
        EvidenceTable sent = new EvidenceTable();
        EvidenceTable received = new EvidenceTable();
        new VirtualProcess("receiver", time, network)
                .onMessage(
                        (to, message) -> received.merge((EvidenceShare) message, time.nowMillis()));
        EvidenceSharing sharing =
                new EvidenceSharing("sender", sent, sender, sender, () -> List.of("receiver"));
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            parts.add("part" + i);
            sent.addEnd("part" + i, "u", 0, "r", 0);
        }
        sharing.onChanged(parts);
        time.runFor(1_000);
        assertThat(received.suspects()).hasSize(300);
    }

    @Test
    void evidenceOfManyPartsIsBoundedAndKeepsThoseInQuarantine() {
        EvidenceTable table = new EvidenceTable();
        for (int i = 0; i < 3; i++) {
            table.addEnd("bad", "u" + i, 1_000L * i, "r" + i, 1_000L * i);
        }
        for (int i = 0; i < 5_000; i++) {
            table.addEnd("part" + i, "u", 10_000, "r", 9_000);
        }
        assertThat(table.isCondemned("bad")).isTrue();
        assertThat(table.suspects()).hasSizeLessThanOrEqualTo(1_000);
    }

    private void crashByOne(String request, String upstream, long sentMillis) {
        quarantine.blame(List.of(request, "p", "q"), upstream, request, sentMillis);
    }

    private boolean isRefused(String suspect) {
        return quarantine.refusalMillis(List.of(suspect)) > 0;
    }

    @Test
    void requestThatCrashesThreeUpstreamsOneAfterTheOtherIsRefusedAndItsPartsAreNot() {
        for (int i = 0; i < 3; i++) {
            long sentMillis = time.nowMillis();
            time.runFor(80);
            crashByOne("r", "u" + i, sentMillis);
        }
        assertThat(quarantined).containsExactly("r");
        assertThat(isRefused("r")).isTrue();
        assertThat(isRefused("p")).isFalse();
    }

    @Test
    void requestThatRanOnThreeUpstreamsThatLostPowerTogetherIsNotRefused() {
        time.runFor(1_000);
        for (int i = 0; i < 3; i++) {
            crashByOne("r", "u" + i, time.nowMillis() - 900);
            time.runFor(50);
        }
        assertThat(isRefused("r")).isFalse();
    }

    @Test
    void soundRequestThatEndedBesideACrashingOneIsNotRefused() {
        for (int i = 0; i < 4; i++) {
            crashByOne("r", "u" + i, time.nowMillis());
            if (i > 0) {
                crashByOne("sound", "u" + i, time.nowMillis());
            }
            time.runFor(500);
        }
        assertThat(isRefused("r")).isTrue();
        assertThat(isRefused("sound")).isFalse();
    }

    @Test
    void requestWithACompleteResponseBetweenItsCrashesIsNotRefused() {
        for (int i = 0; i < 6; i++) {
            crashByOne("poll", "u" + i, time.nowMillis());
            time.runFor(500);
            quarantine.onCompleted(List.of("poll"));
        }
        assertThat(isRefused("poll")).isFalse();
    }

    @Test
    void requestIsSentToASecondUpstreamOnlyAfterItsFirstCrash() {
        crashByOne("r", "u0", time.nowMillis());
        assertThat(quarantine.isRequestRetryAllowed("r")).isTrue();
        time.runFor(500);
        crashByOne("r", "u1", time.nowMillis());
        assertThat(quarantine.isRequestRetryAllowed("r")).isFalse();
    }

    @Test
    void requestsThatNeverComeAgainDoNotPushOutACondemnedOne() {
        for (int i = 0; i < 3; i++) {
            crashByOne("r", "u" + i, time.nowMillis());
            time.runFor(500);
        }
        for (int i = 0; i < 3_000; i++) {
            quarantine.blame(List.of("once" + i), "v" + i, "once" + i, time.nowMillis());
        }
        assertThat(isRefused("r")).isTrue();
    }

    @Test
    void condemnedRequestIsRepeatedBeforeManyNewerSuspects() {
        VirtualNetwork network = new VirtualNetwork(time, new Random(2));
        VirtualProcess sender = new VirtualProcess("sender", time, network);
        EvidenceTable sent = new EvidenceTable();
        new EvidenceSharing("sender", sent, sender, sender, () -> List.of("receiver"));
        for (int i = 0; i < 3; i++) {
            sent.addEnd("r", "u" + i, 1_000L * i, "r", 1_000L * i);
        }
        for (int i = 0; i < 200; i++) {
            sent.addEnd("once" + i, "v", 4_000, "once" + i, 3_900);
        }
        // The receiver starts later, so it learns from repeats only.
        EvidenceTable received = new EvidenceTable();
        new VirtualProcess("receiver", time, network)
                .onMessage(
                        (to, message) -> received.merge((EvidenceShare) message, time.nowMillis()));
        time.runFor(4_000);
        assertThat(received.isCondemned("r")).isTrue();
    }

    @Test
    void partIsNotRefusedIfOneRequestEndedWithAllOfItsUpstreams() {
        quarantine.blame(List.of("sound", "p"), "u0", "sound", time.nowMillis());
        quarantine.blame(List.of("r", "p"), "u0", "r", time.nowMillis());
        time.runFor(500);
        for (int i = 1; i < 3; i++) {
            quarantine.blame(List.of("r", "p"), "u" + i, "r", time.nowMillis());
            time.runFor(500);
        }
        assertThat(isRefused("r")).isTrue();
        assertThat(isRefused("p")).isFalse();
    }

    private boolean cutOff(String request, String upstream, boolean beforeAnEvent, long ranMillis) {
        return quarantine.onCutOff(
                new CutOff(
                        request,
                        List.of("p"),
                        upstream,
                        beforeAnEvent,
                        ranMillis,
                        time.nowMillis() - ranMillis));
    }

    @Test
    void requestThatHadRunForSecondsIsNotBlamed() {
        for (int i = 0; i < 5; i++) {
            assertThat(cutOff("r", "u" + i, false, Quarantine.MAX_CRASH_MILLIS + 1)).isTrue();
            time.runFor(3_000);
        }
        assertThat(isRefused("r")).isFalse();
    }

    @Test
    void requestThatHadJustBegunIsBlamedWithAndWithoutAResponse() {
        cutOff("r", "u0", false, 80);
        time.runFor(500);
        cutOff("r", "u1", true, 80);
        time.runFor(500);
        cutOff("r", "u2", false, 80);
        assertThat(isRefused("r")).isTrue();
        assertThat(isRefused("p")).isFalse();
    }

    @Test
    void partIsRefusedAfterThreeEndsOnlyIfTheyCameAfterAHeadAndBeforeAnEvent() {
        for (int i = 0; i < 3; i++) {
            cutOff("stream" + i, "u" + i, false, 80);
            time.runFor(500);
        }
        assertThat(isRefused("p")).isFalse();
        for (int i = 3; i < 6; i++) {
            cutOff("stream" + i, "u" + i, true, 80);
            time.runFor(500);
        }
        assertThat(isRefused("p")).isTrue();
    }
}
