package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import dev.jayturn.core.quarantine.CutOff;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests with a part that crashes upstreams reach all entry instances in turn. */
final class CrashingPartTest {
    private static final int FIFTH_CRASH = 5;
    private static final int MAX_LATER_CRASHES = 3;
    private static final long NOTICE_MILLIS = 4_000;
    private static final int ROUNDS = 600;
    private static final int ROUND_MILLIS = 50;
    private static final int SOUND_PARTS = 20;

    private VirtualFleet fleet;
    private Random random;
    private final List<Long> crashMillis = new ArrayList<>();
    private boolean headReceived;
    private int soundRequests;
    private int refusedSoundRequests;

    private VirtualEntry anyEntry() {
        List<VirtualEntry> all = new ArrayList<>(fleet.entries.values());
        return all.get(random.nextInt(all.size()));
    }

    private String anySoundPart() {
        return "part" + random.nextInt(SOUND_PARTS);
    }

    private void sendCrashing() {
        VirtualEntry entry = anyEntry();
        List<String> parts = List.of("first", anySoundPart(), "bad");
        if (entry.quarantine.refusalMillis(parts) > 0) {
            return;
        }
        crashMillis.add(fleet.time.nowMillis());
        String upstream = "upstream-" + crashMillis.size();
        long sent = fleet.time.nowMillis();
        String request = "request of " + upstream;
        entry.process.schedule(100, () -> cutOff(entry, request, parts, upstream, sent));
        // A sound request begins to be answered on the same upstream in the same moment.
        VirtualEntry neighbour = anyEntry();
        List<String> soundParts = List.of("first", anySoundPart(), anySoundPart());
        String soundRequest = "request beside " + upstream;
        neighbour.process.schedule(
                100, () -> cutOff(neighbour, soundRequest, soundParts, upstream, sent));
    }

    private void cutOff(
            VirtualEntry entry, String request, List<String> parts, String upstream, long sent) {
        entry.quarantine.onCutOff(new CutOff(request, parts, upstream, headReceived, 100, sent));
    }

    private void sendSound() {
        VirtualEntry entry = anyEntry();
        List<String> parts = List.of("first", anySoundPart(), anySoundPart());
        soundRequests++;
        if (entry.quarantine.refusalMillis(parts) > 0) {
            refusedSoundRequests++;
            return;
        }
        entry.process.schedule(700, () -> entry.quarantine.onCompleted(parts));
    }

    private void restartSome(int round) {
        if (round == 200) {
            VirtualEntry entry = anyEntry();
            entry.process.crash();
            fleet.entries.put(entry.name, fleet.new VirtualEntry(entry.name, "boot-1"));
        }
        if (round == 300) {
            fleet.controls.values().forEach(VirtualControl::restart);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "1, 10, true",
        "2, 10, true",
        "3, 30, true",
        "4, 30, true",
        "5, 100, true",
        "6, 100, true",
        "1, 10, false",
        "2, 10, false",
        "3, 30, false",
        "4, 30, false",
        "5, 100, false",
        "6, 100, false"
    })
    void partThatCrashesUpstreamsIsRefusedEverywhereWithinSeconds(
            long seed, int entries, boolean withHead) {
        headReceived = withHead;
        random = new Random(seed);
        fleet = new VirtualFleet(seed, 3, entries);
        fleet.network.setFaults(0.02, 0.01, 5);
        fleet.time.runFor(3_000);
        for (int round = 0; round < ROUNDS; round++) {
            restartSome(round);
            if (random.nextInt(10) == 0) {
                sendCrashing();
            }
            sendSound();
            sendSound();
            fleet.time.runFor(ROUND_MILLIS);
        }
        assertThat(crashMillis).hasSizeGreaterThanOrEqualTo(3);
        if (crashMillis.size() >= FIFTH_CRASH) {
            long known = crashMillis.get(FIFTH_CRASH - 1) + NOTICE_MILLIS;
            assertThat(crashMillis.stream().filter(crash -> crash > known).count())
                    .isLessThanOrEqualTo(MAX_LATER_CRASHES);
        }
        assertThat(refusedSoundRequests).as("of %d", soundRequests).isZero();
    }
}
