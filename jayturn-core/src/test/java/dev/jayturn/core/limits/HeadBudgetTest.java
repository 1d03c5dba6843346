package dev.jayturn.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class HeadBudgetTest {
    private static final long CAPACITY_BYTES = 100_000;

    private final HeadBudget budget = new HeadBudget(CAPACITY_BYTES);
    private final List<String> refused = new ArrayList<>();

    private HeadBudget.Claim claim(String name, long bytes, boolean refusable) {
        HeadBudget.Claim claim =
                budget.open(
                        new HeadBudget.Holder() {
                            @Override
                            public boolean mayBeRefused() {
                                return refusable;
                            }

                            @Override
                            public void onRefused() {
                                refused.add(name);
                            }
                        });
        claim.resize(HeadBudget.FREE_BYTES + bytes);
        return claim;
    }

    @Test
    void headsOfOrdinarySizeAreNotCharged() {
        for (int i = 0; i < 1_000; i++) {
            claim("ordinary", 0, true);
        }
        assertThat(budget.chargedBytes()).isZero();
        assertThat(refused).isEmpty();
    }

    @Test
    void largestIsRefusedBeforeSmallerOneThatComesLater() {
        claim("small", 10_000, true);
        claim("large", 70_000, true);
        claim("later", 30_000, true);
        assertThat(refused).containsExactly("large");
        assertThat(budget.chargedBytes()).isEqualTo(40_000);
    }

    @Test
    void newestOfTheSameSizeIsRefused() {
        claim("first", 60_000, true);
        claim("second", 60_000, true);
        assertThat(refused).containsExactly("second");
    }

    @Test
    void requestsThatRunAreNotRefused() {
        claim("running", 90_000, false);
        claim("new", 20_000, true);
        assertThat(refused).containsExactly("new");
        assertThat(budget.chargedBytes()).isEqualTo(90_000);
    }

    @Test
    void releasedMemoryIsUsedAgain() {
        claim("first", 90_000, true).release();
        HeadBudget.Claim second = claim("second", 90_000, true);
        second.resize(HeadBudget.FREE_BYTES + 20_000);
        claim("third", 80_000, true);
        assertThat(refused).isEmpty();
        assertThat(budget.chargedBytes()).isEqualTo(CAPACITY_BYTES);
    }
}
