package dev.jayturn.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ReservedRoomTest {
    private static final double LIMIT = 0.75;
    private static final double RESERVE = 0.25;

    /** Time for which the room that a request was given stays in use. */
    private static final long HOLD_MILLIS = 400;

    private static final long RUN_MILLIS = 30_000;

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("p:1", time, new VirtualNetwork(time, new Random(1)));
    private final Random random = new Random(7);
    private final Map<String, int[]> askedAndAdmitted = new HashMap<>();
    private double capacity;
    private double used;

    private void ask(ReservedRoom room, ReservedRoom.Demand demand) {
        int[] counts = askedAndAdmitted.computeIfAbsent(demand.kind(), name -> new int[2]);
        counts[0]++;
        if (room.admits(demand, used / capacity, LIMIT)) {
            counts[1]++;
            used += demand.work();
            time.schedule(HOLD_MILLIS, () -> used -= demand.work());
        }
    }

    private void send(ReservedRoom room, ReservedRoom.Demand demand, double perSecond) {
        time.schedule(
                (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond),
                () -> {
                    ask(room, demand);
                    send(room, demand, perSecond);
                });
    }

    private double share(String kind) {
        int[] counts = askedAndAdmitted.getOrDefault(kind, new int[2]);
        return counts[1] / (double) Math.max(1, counts[0]);
    }

    private static ReservedRoom.Demand demand(String kind, int priority, long work) {
        return new ReservedRoom.Demand(kind, priority, true, work);
    }

    /** A burst of the cheapest kind beside one of the dearest. */
    private void burst(double reserve) {
        askedAndAdmitted.clear();
        used = 0;
        ReservedRoom room = new ReservedRoom(process, reserve);
        capacity = 600_000 * HOLD_MILLIS / 1_000.0;
        send(room, demand("dear", 0, 12_000), 18 * 1.9);
        send(room, demand("middle", 1, 830), 113);
        send(room, demand("cheap", 2, 2_400), 56 * 2.4);
        time.runFor(RUN_MILLIS);
    }

    @Test
    void burstOfCheapRequestsLeavesRoomForTheDearOnes() {
        burst(0);
        double dearInOrderOfArrival = share("dear");
        ReservedRoomTest other = new ReservedRoomTest();
        other.burst(RESERVE);
        assertThat(dearInOrderOfArrival).isLessThan(0.8);
        assertThat(other.share("dear")).isGreaterThan(dearInOrderOfArrival + 0.1);
        assertThat(other.share("dear")).isGreaterThan(other.share("cheap"));
    }

    @Test
    void noKindGetsLessThanAQuarterOfTheShareOfAllRequests() {
        burst(RESERVE);
        int asked = 0;
        int admitted = 0;
        for (int[] counts : askedAndAdmitted.values()) {
            asked += counts[0];
            admitted += counts[1];
        }
        double all = admitted / (double) asked;
        for (String kind : askedAndAdmitted.keySet()) {
            assertThat(share(kind)).as(kind).isGreaterThan(0.25 * all);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.25, 0.5})
    void requestsThatRankAlikeGetTheWholeRoom(double reserve) {
        ReservedRoom room = new ReservedRoom(process, reserve);
        for (int i = 0; i < 1_000; i++) {
            assertThat(room.admits(demand("a", 1, 100), LIMIT - 0.001, LIMIT)).isTrue();
        }
    }

    @Test
    void withoutPressureEveryRequestIsAdmitted() {
        ReservedRoom room = new ReservedRoom(process, RESERVE);
        for (int i = 0; i < 1_000; i++) {
            assertThat(room.admits(demand("dear", 0, 1_000), 0.4, LIMIT)).isTrue();
            assertThat(room.admits(demand("cheap", 9, 10), 0.4, LIMIT)).isTrue();
        }
    }

    @Test
    void requestThatMissesItsObjectiveGivesWayToOneThatCanMeetIt() {
        ReservedRoom room = new ReservedRoom(process, RESERVE);
        for (int i = 0; i < 100; i++) {
            room.admits(demand("a", 0, 100), 0, LIMIT);
        }
        ReservedRoom.Demand late = new ReservedRoom.Demand("a", 0, false, 100);
        assertThat(room.admits(late, LIMIT - 0.05, LIMIT)).isFalse();
        assertThat(room.admits(demand("a", 0, 100), LIMIT - 0.05, LIMIT)).isTrue();
        assertThat(room.admits(late, LIMIT - RESERVE - 0.01, LIMIT)).isTrue();
    }

    /** One of 24 customers of equal priority sends three times its usual. */
    @Test
    void noCustomerStarvesBesideOneThatSendsThreeTimesItsUsual() {
        ReservedRoom room = new ReservedRoom(process, RESERVE);
        capacity = 240_000 * HOLD_MILLIS / 1_000.0;
        for (int i = 0; i < 24; i++) {
            double weight = 1 / Math.pow(i + 1, 1.2);
            send(room, demand("c" + i, i % 3, 3_000), 40 * weight * (i == 1 ? 3 : 1));
        }
        time.runFor(RUN_MILLIS);
        int asked = askedAndAdmitted.values().stream().mapToInt(counts -> counts[0]).sum();
        int admitted = askedAndAdmitted.values().stream().mapToInt(counts -> counts[1]).sum();
        assertThat(admitted).isLessThan(asked);
        askedAndAdmitted.forEach(
                (kind, counts) ->
                        assertThat(counts[1] / (double) counts[0])
                                .as(kind)
                                .isGreaterThan(0.25 * admitted / asked));
    }

    @Test
    void oldDemandIsForgotten() {
        ReservedRoom room = new ReservedRoom(process, RESERVE);
        for (int i = 0; i < 100; i++) {
            room.admits(demand("dear", 0, 1_000), 0, LIMIT);
        }
        assertThat(room.admits(demand("cheap", 2, 1), LIMIT - 0.01, LIMIT)).isFalse();
        time.runFor(5_000);
        assertThat(room.admits(demand("cheap", 2, 1), LIMIT - 0.01, LIMIT)).isTrue();
    }
}
