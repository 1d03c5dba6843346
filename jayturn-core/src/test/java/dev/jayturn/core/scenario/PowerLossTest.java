package dev.jayturn.core.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.control.Credit;
import dev.jayturn.core.control.CreditNoted;
import dev.jayturn.core.result.ResultCode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Control instances lose power at any millisecond, alone or together, while credits are made. */
final class PowerLossTest {
    private static final int ROUNDS = 60;
    private static final String[] DATA_CENTRES = {"kokura", "yahata", "kagoshima"};

    private final Map<String, AtomicReference<ControlOutcome>> outcomes = new TreeMap<>();

    private void sendCredits(SimulatedFleet fleet, Random random, int round) {
        for (int i = 0; i < 6; i++) {
            String id = "c" + round + "-" + i;
            Credit credit = new Credit(id, "other", 1, List.of(), "op", 1);
            String place = DATA_CENTRES[random.nextInt(DATA_CENTRES.length)];
            outcomes.put(id, fleet.commitAsync(place, credit));
            fleet.time().runFor(random.nextInt(12));
        }
    }

    private static void powerCycle(SimulatedFleet fleet, Random random) {
        boolean together = random.nextInt(3) > 0;
        List<ControlInstance> lost = new ArrayList<>();
        for (ControlInstance control : fleet.controls()) {
            if (together || random.nextInt(3) == 0) {
                control.crash();
                lost.add(control);
            }
        }
        fleet.time().runFor(random.nextInt(200));
        for (ControlInstance control : lost) {
            control.start(false);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void acceptedCreditsSurvivePowerLoss(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, true);
        Random random = new Random(seed);
        for (int round = 0; round < ROUNDS; round++) {
            sendCredits(fleet, random, round);
            powerCycle(fleet, random);
            fleet.time().runFor(1_200 + random.nextInt(800));
        }
        fleet.time().runFor(20_000);
        Set<String> kept = new HashSet<>();
        for (CreditNoted noted : fleet.leader().state().credits()) {
            assertThat(kept.add(noted.credit().creditId())).isTrue();
        }
        outcomes.forEach(
                (id, answer) -> {
                    if (answer.get() != null && answer.get().code() == ResultCode.OK) {
                        assertThat(kept).as("seed %d", seed).contains(id);
                    }
                });
        assertThat(kept.size()).isGreaterThan(ROUNDS);
    }
}
