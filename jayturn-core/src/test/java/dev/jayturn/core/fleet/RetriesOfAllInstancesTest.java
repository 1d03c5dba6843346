package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.fleet.VirtualFleet.VirtualControl;
import dev.jayturn.core.fleet.VirtualFleet.VirtualEntry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against retries of all instances together beyond the limit while all upstreams fail. */
final class RetriesOfAllInstancesTest {
    private static final long WINDOW_MILLIS = VirtualFleet.RETRY_WINDOW_MILLIS;
    private static final int CONTROLS = 3;
    private static final long SEED = 1;
    private static final int TICK_MILLIS = 100;

    /** Requests in each second, spread over the running instances. */
    private static final int REQUESTS_PER_SECOND = 12;

    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int LONG_MILLIS = 35_000;

    private final List<Long> requestMillis = new ArrayList<>();
    private final List<Long> retryMillis = new ArrayList<>();
    private VirtualFleet fleet = new VirtualFleet(SEED, CONTROLS, 0);
    private long judgedFromMillis;
    private int requestCount;
    private int bootCount;

    /** Starts a fleet whose instances retry as much as they may, from their start on. */
    private void startFleet(int entries) {
        fleet = new VirtualFleet(SEED, CONTROLS, entries);
        fleet.network.setFaults(0, 0, 5);
        scheduleTick();
    }

    /** Starts a fleet whose limit on retries is judged from the end of its start on. */
    private void startCalmFleet(int entries) {
        startFleet(entries);
        fleet.time.runFor(LONG_MILLIS);
        judgedFromMillis = fleet.time.nowMillis();
    }

    private void scheduleTick() {
        fleet.time.schedule(TICK_MILLIS, this::tick);
    }

    private List<VirtualEntry> running() {
        return fleet.entries.values().stream().filter(e -> e.process.isRunning()).toList();
    }

    private void tick() {
        scheduleTick();
        long now = fleet.time.nowMillis();
        List<VirtualEntry> running = running();
        long due = now * REQUESTS_PER_SECOND / MILLIS_PER_SECOND;
        for (; requestCount < due; requestCount++) {
            requestMillis.add(now);
            if (!running.isEmpty()) {
                running.get(requestCount % running.size()).retryBudget.recordRequest();
            }
        }
        for (VirtualEntry entry : running) {
            while (entry.tryRetry()) {
                retryMillis.add(now);
            }
        }
    }

    private static long countIn(List<Long> times, long startMillis, long endMillis) {
        return times.stream().filter(at -> at >= startMillis && at <= endMillis).count();
    }

    private double maxRetriesUntil(long endMillis) {
        long requests = 0;
        for (long before = 0; before <= WINDOW_MILLIS; before += WINDOW_MILLIS / 2) {
            long end = endMillis - before;
            requests = Math.max(requests, countIn(requestMillis, end - WINDOW_MILLIS, end));
        }
        return VirtualFleet.RETRY_RATIO * requests + VirtualFleet.RETRY_SLACK;
    }

    private void assertRetriesStayWithinTheLimit() {
        double worst = 0;
        for (long end : retryMillis.stream().distinct().toList()) {
            if (end < judgedFromMillis) {
                continue;
            }
            long retries = countIn(retryMillis, end - WINDOW_MILLIS, end);
            worst = Math.max(worst, retries / maxRetriesUntil(end));
        }
        assertThat(worst).as("retries by the number that is allowed").isLessThanOrEqualTo(1);
    }

    private void crashControls(long millis) {
        fleet.controls.values().forEach(control -> control.process.crash());
        fleet.time.runFor(millis);
        fleet.controls.values().forEach(VirtualControl::restart);
    }

    private void crashEntries(List<VirtualEntry> crashed, long millis) {
        crashed.forEach(entry -> entry.process.crash());
        fleet.time.runFor(millis);
        crashed.forEach(entry -> startEntry(entry.name));
    }

    private void startEntry(String name) {
        fleet.entries.put(name, fleet.new VirtualEntry(name, "boot-" + ++bootCount));
    }

    private List<VirtualEntry> first(int count) {
        return running().subList(0, count);
    }

    private void isolate(List<VirtualEntry> entries) {
        entries.forEach(entry -> fleet.network.isolate(entry.name));
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 30, 100})
    void slackIsUsedInCalm(int entries) {
        startCalmFleet(entries);
        assertRetriesStayWithinTheLimit();
        long now = fleet.time.nowMillis();
        long retries = countIn(retryMillis, now - WINDOW_MILLIS, now);
        long requests = countIn(requestMillis, now - WINDOW_MILLIS, now);
        assertThat(retries).isGreaterThan((long) (VirtualFleet.RETRY_RATIO * requests));
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 30, 100})
    void instancesWithoutAnUpdateYetShareTheSlack(int entries) {
        startFleet(entries);
        fleet.controls.values().forEach(control -> control.process.crash());
        fleet.time.runFor(LONG_MILLIS);
        fleet.controls.values().forEach(VirtualControl::restart);
        fleet.time.runFor(LONG_MILLIS);
        assertRetriesStayWithinTheLimit();
    }

    @ParameterizedTest
    @CsvSource({"6, 1", "6, 15", "6, 30", "30, 1", "30, 15", "30, 30", "100, 1", "100, 30"})
    void restartOfAllControlInstancesGivesNoOneAWholeSlack(int entries, int seconds) {
        startCalmFleet(entries);
        crashControls((long) seconds * MILLIS_PER_SECOND);
        fleet.time.runFor(LONG_MILLIS);
        assertRetriesStayWithinTheLimit();
    }

    @ParameterizedTest
    @CsvSource({"6, 1", "6, 2", "30, 1", "30, 2", "100, 1", "100, 2"})
    void restartedInstancesDoNotRepeatTheirPartOfTheSlack(int entries, int restarts) {
        startCalmFleet(entries);
        for (int i = 0; i < restarts; i++) {
            crashEntries(running(), MILLIS_PER_SECOND);
            fleet.time.runFor(3 * MILLIS_PER_SECOND);
        }
        fleet.time.runFor(LONG_MILLIS);
        assertRetriesStayWithinTheLimit();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 30, 100})
    void instancesThatRestartInTurnDoNotRepeatTheirPartOfTheSlack(int entries) {
        startCalmFleet(entries);
        for (int round = 0; round < 2; round++) {
            for (VirtualEntry entry : running()) {
                crashEntries(List.of(entry), 4L * MILLIS_PER_SECOND / entries);
            }
        }
        fleet.time.runFor(LONG_MILLIS);
        assertRetriesStayWithinTheLimit();
    }

    @ParameterizedTest
    @CsvSource({"6, 1", "6, 2", "30, 1", "30, 2", "100, 1", "100, 2"})
    void lossOfAllMachinesDoesNotRepeatTheSlack(int entries, int losses) {
        startCalmFleet(entries);
        for (int i = 0; i < losses; i++) {
            fleet.controls.values().forEach(control -> control.process.crash());
            crashEntries(running(), MILLIS_PER_SECOND);
            fleet.controls.values().forEach(VirtualControl::restart);
            fleet.time.runFor(3 * MILLIS_PER_SECOND);
        }
        fleet.time.runFor(LONG_MILLIS);
        assertRetriesStayWithinTheLimit();
    }

    @ParameterizedTest
    @CsvSource({
        "6, 1, 8",
        "6, 3, 8",
        "6, 5, 8",
        "6, 6, 8",
        "6, 5, 30",
        "30, 15, 8",
        "30, 29, 8",
        "30, 29, 30",
        "100, 50, 8",
        "100, 99, 8",
        "100, 99, 30",
        "100, 100, 8"
    })
    void instancesThatAreCutOffAndTheOthersShareTheSlack(int entries, int cut, int seconds) {
        startCalmFleet(entries);
        isolate(first(cut));
        fleet.time.runFor((long) seconds * MILLIS_PER_SECOND);
        fleet.network.heal();
        fleet.time.runFor(LONG_MILLIS);
        assertRetriesStayWithinTheLimit();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 30, 100})
    void instancesThatAreCutOffInTurnAndTheOthersShareTheSlack(int entries) {
        startCalmFleet(entries);
        for (int cut = 1; cut < entries; cut++) {
            isolate(first(cut));
            fleet.time.runFor(Math.max(1, 24 / entries) * 1_000L);
        }
        fleet.time.runFor(LONG_MILLIS);
        fleet.network.heal();
        fleet.time.runFor(LONG_MILLIS);
        assertRetriesStayWithinTheLimit();
    }

    @ParameterizedTest
    @CsvSource({"6, false", "6, true", "30, false", "30, true", "100, false", "100, true"})
    void instancesThatAreAddedOneByOneShareTheSlack(int entries, boolean cutOthersOff) {
        int first = entries / 6;
        startCalmFleet(first);
        if (cutOthersOff) {
            isolate(running());
        }
        for (int i = first; i < entries; i++) {
            startEntry("entry-" + i);
            fleet.time.runFor(MILLIS_PER_SECOND / 2);
        }
        fleet.time.runFor(LONG_MILLIS);
        assertRetriesStayWithinTheLimit();
    }
}
