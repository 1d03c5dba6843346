package dev.jayturn.core.loadview;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Many entry instances place streams about as well as a single one that knows all the load. */
final class UnseenLoadFleetTest {
    private static final long SEED = Long.getLong("loads.seed", 1);
    private static final double LOSS_RATE = 0.05;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long MEASURED_MILLIS = 10_000;
    private static final long CUT_MILLIS = 8_000;
    private static final int DEATHS = 3;
    private static final long RESTART_INTERVAL_MILLIS = 500;

    /**
     * Time until the control instances name an instance that has started, or no longer a dead one.
     */
    private static final long NOTICE_MILLIS = 1_500;

    private static final double MAX_RATIO = 1.5;
    private static final double MAX_RATIO_IN_CUT = 3;
    private static final double LATE_ALLOWANCE = 0.01;

    private static final Map<Double, UnseenLoadFleet.Result> SINGLE = new HashMap<>();

    private static UnseenLoadFleet warmFleet(int instances, double use) {
        UnseenLoadFleet fleet = new UnseenLoadFleet(instances, use, LOSS_RATE, SEED);
        fleet.time().runFor(WARM_UP_MILLIS);
        fleet.measure();
        return fleet;
    }

    private static UnseenLoadFleet.Result undisturbed(int instances, double use) {
        UnseenLoadFleet fleet = warmFleet(instances, use);
        fleet.time().runFor(MEASURED_MILLIS);
        return fleet.result();
    }

    private static void check(UnseenLoadFleet.Result result, double use, double maxRatio) {
        UnseenLoadFleet.Result single = SINGLE.computeIfAbsent(use, u -> undisturbed(1, u));
        String seen = result + ", a single instance " + single;
        assertThat((double) result.p99Millis())
                .as("p99, %s", seen)
                .isLessThanOrEqualTo(maxRatio * single.p99Millis());
        assertThat(result.lateShare())
                .as("late, %s", seen)
                .isLessThanOrEqualTo(maxRatio * single.lateShare() + LATE_ALLOWANCE);
    }

    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({
        "6, 0.38",
        "6, 0.77",
        "17, 0.38",
        "17, 0.77",
        "69, 0.38",
        "69, 0.77",
        "138, 0.77",
        "350, 0.77"
    })
    void manyInstancesPlaceStreamsLikeOne(int instances, double use) {
        check(undisturbed(instances, use), use, MAX_RATIO);
    }

    @Tag("known-red")
    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({"6, 1.0", "17, 1.0", "69, 1.0", "138, 0.38", "138, 1.0", "350, 0.38", "350, 1.0"})
    void manyInstancesPlaceStreamsLikeOneAtLowAndFullUse(int instances, double use) {
        check(undisturbed(instances, use), use, MAX_RATIO);
    }

    private static void dieInCut(int instances, double use) {
        UnseenLoadFleet fleet = warmFleet(instances, use);
        for (int i = 0; i < DEATHS; i++) {
            fleet.kill(UnseenLoadFleet.name(i));
            fleet.time().runFor(CUT_MILLIS / DEATHS);
        }
        fleet.tellPeers();
        fleet.time().runFor(MEASURED_MILLIS - CUT_MILLIS);
        check(fleet.result(), use, MAX_RATIO_IN_CUT);
    }

    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({"69, 0.38", "69, 0.77", "138, 0.38", "138, 0.77", "350, 0.38", "350, 0.77"})
    void holdersDieWhileAllAreCutOffFromControl(int instances, double use) {
        dieInCut(instances, use);
    }

    @Tag("known-red")
    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({"69, 1.0", "138, 1.0", "350, 1.0"})
    void holdersDieWhileAllAreCutOffFromControlAtFullUse(int instances, double use) {
        dieInCut(instances, use);
    }

    private static void die(int instances, double use) {
        UnseenLoadFleet fleet = warmFleet(instances, use);
        for (int i = 0; i < DEATHS; i++) {
            fleet.kill(UnseenLoadFleet.name(i));
            fleet.time().schedule(NOTICE_MILLIS, fleet::tellPeers);
            fleet.time().runFor(MEASURED_MILLIS / DEATHS);
        }
        check(fleet.result(), use, MAX_RATIO);
    }

    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({"69, 0.38", "69, 0.77", "138, 0.77", "350, 0.77"})
    void holdersDie(int instances, double use) {
        die(instances, use);
    }

    @Tag("known-red")
    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({"69, 1.0", "138, 0.38", "138, 1.0", "350, 0.38", "350, 1.0"})
    void holdersDieAtLowAndFullUse(int instances, double use) {
        die(instances, use);
    }

    private static void restartInSeries(int instances, double use) {
        UnseenLoadFleet fleet = warmFleet(instances, use);
        for (int i = 0; i < MEASURED_MILLIS / RESTART_INTERVAL_MILLIS; i++) {
            String name = UnseenLoadFleet.name(i);
            fleet.kill(name);
            fleet.start(UnseenLoadFleet.name(instances + i));
            fleet.time().schedule(RESTART_INTERVAL_MILLIS, () -> fleet.start(name));
            fleet.time().schedule(NOTICE_MILLIS, fleet::tellPeers);
            fleet.time().runFor(RESTART_INTERVAL_MILLIS);
        }
        check(fleet.result(), use, MAX_RATIO);
    }

    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({"69, 0.38", "69, 0.77", "138, 0.38", "138, 0.77", "350, 0.77"})
    void instancesAreAddedAndRestartedInSeries(int instances, double use) {
        restartInSeries(instances, use);
    }

    @Tag("known-red")
    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({"69, 1.0", "138, 1.0", "350, 0.38", "350, 1.0"})
    void instancesAreAddedAndRestartedInSeriesAtLowAndFullUse(int instances, double use) {
        restartInSeries(instances, use);
    }

    @ParameterizedTest(name = "{0} instances, engines used {1}")
    @CsvSource({"69, 0.38", "69, 0.77", "138, 0.38", "138, 0.77"})
    void nothingKnownOfOthersIsNoWorseThanEachByItself(int instances, double use) {
        UnseenLoadFleet silent = new UnseenLoadFleet(instances, use, 1, SEED);
        silent.time().runFor(WARM_UP_MILLIS);
        silent.measure();
        silent.time().runFor(MEASURED_MILLIS);
        UnseenLoadFleet alone = new UnseenLoadFleet(instances, use, 1, SEED);
        alone.forgetPeers();
        alone.time().runFor(WARM_UP_MILLIS);
        alone.measure();
        alone.time().runFor(MEASURED_MILLIS);
        UnseenLoadFleet.Result before = alone.result();
        UnseenLoadFleet.Result result = silent.result();
        assertThat(result.p99Millis())
                .as("%s, before %s", result, before)
                .isLessThanOrEqualTo(before.p99Millis());
        assertThat(result.lateShare()).isLessThanOrEqualTo(before.lateShare());
    }
}
