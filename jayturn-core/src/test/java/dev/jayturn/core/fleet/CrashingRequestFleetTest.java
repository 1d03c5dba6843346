package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import dev.jayturn.core.quarantine.CutOff;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Two requests that crash what runs them come again and again at all entry instances, beside
 * requests with a part that crashes upstreams and beside sound ones that are repeated, too.
 */
final class CrashingRequestFleetTest {
    private static final int THIRD_CRASH = 3;
    private static final int MAX_LATER_ARRIVALS = 3;
    private static final long CONTACT_MILLIS = 4_000;
    private static final int ROUNDS = 800;
    private static final int ROUND_MILLIS = 50;
    private static final int RUN_MILLIS = 80;
    private static final int POLLS = 10;

    private VirtualFleet fleet;
    private Random random;
    private int ends;
    private int refusedPolls;
    private final Map<String, List<Long>> arrivals = new HashMap<>();

    private VirtualEntry anyEntry() {
        List<VirtualEntry> all = new ArrayList<>(fleet.entries.values());
        return all.get(random.nextInt(all.size()));
    }

    private void sendCrashing(VirtualEntry entry, String request, List<String> parts) {
        List<String> suspects = new ArrayList<>(parts);
        suspects.add(request);
        if (entry.quarantine.refusalMillis(suspects) > 0) {
            return;
        }
        long sent = fleet.time.nowMillis();
        String upstream = "upstream-" + ++ends;
        arrivals.computeIfAbsent(request, r -> new ArrayList<>()).add(sent);
        // A sound request ends with it; its caller sends it again, and it is answered.
        VirtualEntry neighbour = anyEntry();
        String poll = anyPoll();
        neighbour.process.schedule(
                RUN_MILLIS, () -> cutOff(neighbour, poll, List.of(), upstream, sent));
        neighbour.process.schedule(
                4 * RUN_MILLIS, () -> neighbour.quarantine.onCompleted(List.of(poll)));
        entry.process.schedule(
                RUN_MILLIS,
                () -> {
                    if (cutOff(entry, request, parts, upstream, sent)) {
                        sendCrashing(entry, request, parts);
                    }
                });
    }

    private static boolean cutOff(
            VirtualEntry entry, String request, List<String> parts, String upstream, long sent) {
        return entry.quarantine.onCutOff(
                new CutOff(request, parts, upstream, true, RUN_MILLIS, sent));
    }

    private String anyPoll() {
        return "poll-" + random.nextInt(POLLS);
    }

    private void sendPoll() {
        VirtualEntry entry = anyEntry();
        String poll = anyPoll();
        if (entry.quarantine.refusalMillis(List.of(poll)) > 0) {
            refusedPolls++;
            return;
        }
        entry.process.schedule(RUN_MILLIS, () -> entry.quarantine.onCompleted(List.of(poll)));
    }

    private void disturb(int round) {
        if (round == 200) {
            VirtualEntry entry = anyEntry();
            entry.process.crash();
            fleet.entries.put(entry.name, fleet.new VirtualEntry(entry.name, "boot-1"));
        }
        if (round == 400) {
            fleet.controls.values().forEach(VirtualControl::restart);
        }
    }

    private void assertFewArrivalsAfterTheThird(String request) {
        List<Long> times = arrivals.get(request);
        assertThat(times).hasSizeGreaterThanOrEqualTo(THIRD_CRASH);
        long known = times.get(THIRD_CRASH - 1) + RUN_MILLIS + CONTACT_MILLIS;
        assertThat(times.stream().filter(time -> time > known).count())
                .as("%s at %s", request, times)
                .isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
    }

    @ParameterizedTest
    @CsvSource({"1, 6", "2, 6", "3, 30", "4, 30", "5, 100", "6, 100"})
    void requestThatCrashesUpstreamsIsRefusedEverywhereWithinSeconds(long seed, int entries) {
        random = new Random(seed);
        fleet = new VirtualFleet(seed, 3, entries);
        fleet.network.setFaults(0.02, 0.01, 5);
        fleet.time.runFor(3_000);
        for (int round = 0; round < ROUNDS; round++) {
            disturb(round);
            if (random.nextInt(10) == 0) {
                sendCrashing(anyEntry(), "bad-" + random.nextInt(2), List.of("p", "q"));
            }
            if (random.nextInt(20) == 0) {
                sendCrashing(anyEntry(), "own-" + round, List.of("p", "bad part"));
            }
            for (int i = 0; i < 4; i++) {
                sendPoll();
            }
            anyEntry().quarantine.onCompleted(List.of("p", "q"));
            fleet.time.runFor(ROUND_MILLIS);
        }
        assertFewArrivalsAfterTheThird("bad-0");
        assertFewArrivalsAfterTheThird("bad-1");
        assertThat(refusedPolls).isZero();
        assertThat(arrivals.keySet().stream().filter(request -> request.startsWith("own-")).count())
                .isLessThanOrEqualTo(8);
        assertThat(anyEntry().quarantine.refusalMillis(List.of("p", "q"))).isZero();
    }
}
