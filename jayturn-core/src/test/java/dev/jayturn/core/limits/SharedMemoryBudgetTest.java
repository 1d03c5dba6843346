package dev.jayturn.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class SharedMemoryBudgetTest {
    private static final long MEBIBYTE = 1 << 20;
    private static final long CAPACITY_BYTES = 24 * MEBIBYTE;
    private static final long LONG_BYTES = 4 * MEBIBYTE;
    private static final long SHORT_BYTES = 2_000;
    private static final long MAX_WAIT_MILLIS = 650;

    private final VirtualTime time = new VirtualTime();
    private final VirtualProcess process =
            new VirtualProcess("p:1", time, new VirtualNetwork(time, new Random(1)));
    private final SharedMemoryBudget budget = new SharedMemoryBudget(process, CAPACITY_BYTES);
    private final Map<String, Long> grantedMillis = new HashMap<>();
    private final Map<String, Long> retryAfterMillis = new HashMap<>();
    private final Map<String, Long> rejectedMillis = new HashMap<>();
    private final List<String> grants = new ArrayList<>();

    private MemoryBudget.Claim claim(String name, long bytes) {
        return claim(name, bytes, () -> {});
    }

    private MemoryBudget.Claim claim(String name, long bytes, Runnable onGranted) {
        return budget.claim(
                bytes,
                MAX_WAIT_MILLIS,
                new MemoryBudget.Callback() {
                    @Override
                    public void onGranted() {
                        grants.add(name);
                        grantedMillis.put(name, time.nowMillis());
                        onGranted.run();
                    }

                    @Override
                    public void onRejected(long retryMillis) {
                        rejectedMillis.put(name, time.nowMillis());
                        retryAfterMillis.put(name, retryMillis);
                    }
                });
    }

    /** Claims memory for a body whose request ends some time after the claim was granted. */
    private void claimFor(String name, long bytes, long holdMillis) {
        MemoryBudget.Claim[] claim = new MemoryBudget.Claim[1];
        claim[0] = claim(name, bytes, () -> time.schedule(holdMillis, () -> claim[0].release()));
    }

    @Test
    void manyLongBodiesAtOnceAreServedInTurnOrRejectedAtOnceWhileShortOnesNeverWait() {
        time.runAfterEachEvent(
                () -> assertThat(budget.claimedBytes()).isLessThanOrEqualTo(CAPACITY_BYTES));
        long startMillis = time.nowMillis();
        for (int i = 0; i < 24; i++) {
            claimFor("long-" + i, LONG_BYTES, 300);
        }
        for (int i = 0; i < 200; i++) {
            String name = "short-" + i;
            time.schedule(i * 10, () -> claimFor(name, SHORT_BYTES, 300));
        }
        time.runFor(3_000);
        for (int i = 0; i < 200; i++) {
            assertThat(grantedMillis.get("short-" + i)).isEqualTo(startMillis + i * 10);
        }
        for (int i = 0; i < 24; i++) {
            String name = "long-" + i;
            assertThat(grantedMillis.containsKey(name))
                    .isNotEqualTo(rejectedMillis.containsKey(name));
            if (grantedMillis.containsKey(name)) {
                assertThat(grantedMillis.get(name))
                        .isBetween(startMillis, startMillis + MAX_WAIT_MILLIS);
            } else {
                assertThat(retryAfterMillis.get(name)).isBetween(50L, 1_000L);
                assertThat(rejectedMillis.get(name)).isEqualTo(startMillis);
            }
        }
        // Four fit at a time, and three rounds begin in time.
        assertThat(grantedMillis.keySet().stream().filter(n -> n.startsWith("long"))).hasSize(12);
        assertThat(budget.claimedBytes()).isZero();
        assertThat(budget.waitingClaims()).isZero();
    }

    @Test
    void claimsBehindOnesThatAreHeldForLongAreRejectedAtOnce() {
        List<MemoryBudget.Claim> held = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            held.add(claim("held-" + i, LONG_BYTES));
        }
        time.runFor(10_000);
        claim("later", LONG_BYTES);
        assertThat(rejectedMillis).containsEntry("later", time.nowMillis());
        assertThat(retryAfterMillis).containsEntry("later", 1_000L);
        held.forEach(MemoryBudget.Claim::release);
        claim("after", LONG_BYTES);
        assertThat(grantedMillis).containsKey("after");
    }

    @Test
    void longClaimsAreGrantedInTheOrderOfTheirArrival() {
        MemoryBudget.Claim first = claim("first", 16 * MEBIBYTE);
        claim("second", 6 * MEBIBYTE);
        claim("third", MEBIBYTE);
        assertThat(grants).containsExactly("first");
        time.runFor(100);
        first.release();
        assertThat(grants).containsExactly("first", "second", "third");
    }

    @Test
    void claimThatWaitsTooLongIsRejectedAndLetsTheNextOnePass() {
        claim("first", 14 * MEBIBYTE);
        claim("second", 6 * MEBIBYTE);
        time.runFor(100);
        claim("third", MEBIBYTE);
        time.runFor(MAX_WAIT_MILLIS);
        assertThat(rejectedMillis).containsOnlyKeys("second");
        assertThat(grants).containsExactly("first", "third");
    }

    @Test
    void claimThatIsWithdrawnOrShrunkGivesItsMemoryToThoseThatWait() {
        MemoryBudget.Claim first = claim("first", 16 * MEBIBYTE);
        MemoryBudget.Claim second = claim("second", 6 * MEBIBYTE);
        claim("third", 2 * MEBIBYTE);
        second.release();
        assertThat(grants).containsExactly("first", "third");
        claim("fourth", 6 * MEBIBYTE);
        first.shrinkTo(10 * MEBIBYTE);
        assertThat(grants).containsExactly("first", "third", "fourth");
        assertThat(budget.claimedBytes()).isEqualTo(18 * MEBIBYTE);
    }

    @Test
    void claimOfMoreThanAllMemoryIsRejected() {
        claim("huge", CAPACITY_BYTES);
        assertThat(rejectedMillis).containsKey("huge");
        assertThat(budget.largestClaimBytes()).isEqualTo(18 * MEBIBYTE);
    }

    @Test
    void shortBodiesThatStopGiveWayToNewOnes() {
        int fitting = (int) (CAPACITY_BYTES / MemoryBudget.SHORT_CLAIM_BYTES);
        claim("received", MemoryBudget.SHORT_CLAIM_BYTES).complete();
        for (int i = 1; i < fitting; i++) {
            claim("stopped-" + i, MemoryBudget.SHORT_CLAIM_BYTES);
        }
        claim("new", SHORT_BYTES);
        claim("next", MemoryBudget.SHORT_CLAIM_BYTES);
        assertThat(grants).contains("new", "next");
        assertThat(rejectedMillis).containsOnlyKeys("stopped-1", "stopped-2");
        assertThat(budget.claimedBytes()).isLessThanOrEqualTo(CAPACITY_BYTES);
    }

    @Test
    void shortBodiesThatAreReceivedKeepTheirMemory() {
        int fitting = (int) (CAPACITY_BYTES / MemoryBudget.SHORT_CLAIM_BYTES);
        for (int i = 1; i < fitting; i++) {
            claim("received-" + i, MemoryBudget.SHORT_CLAIM_BYTES).complete();
        }
        claim("stopped", SHORT_BYTES);
        claim("received", MemoryBudget.SHORT_CLAIM_BYTES - SHORT_BYTES).complete();
        claim("new", 2 * SHORT_BYTES);
        assertThat(rejectedMillis).containsOnlyKeys("new");
    }
}
