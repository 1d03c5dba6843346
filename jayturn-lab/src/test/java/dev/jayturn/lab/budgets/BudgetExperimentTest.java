package dev.jayturn.lab.budgets;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class BudgetExperimentTest {
    private static List<BudgetExperiment.Result> run(DemandShape shape, long seed) {
        return new BudgetExperiment(shape, seed).run();
    }

    private static void assertFalseRefusalsUnderATenth(DemandShape shape, long seed) {
        List<BudgetExperiment.Result> results = run(shape, seed);
        long better = Math.min(results.get(1).falseRefusals(), results.get(2).falseRefusals());
        assertThat(results.get(0).falseRefusals()).as("seed %d", seed).isLessThan(better / 10);
    }

    @ParameterizedTest
    @CsvSource({"STEADY,1", "SHIFTING,1", "BURSTING,1", "STEADY,2", "SHIFTING,2", "BURSTING,2"})
    void noBudgetIsOverspentInAPartitionOfAnHour(DemandShape shape, long seed) {
        BudgetExperiment.Result ledgers = run(shape, seed).get(0);
        assertThat(ledgers.requests()).isPositive();
        assertThat(ledgers.overspentTokens()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"STEADY,1", "BURSTING,1", "STEADY,2", "BURSTING,2"})
    void falseRefusalsStayUnderATenthOfTheBetterBaseline(DemandShape shape, long seed) {
        assertFalseRefusalsUnderATenth(shape, seed);
    }

    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({"SHIFTING,1", "SHIFTING,2"})
    void shiftingDemandStaysUnderATenthOfTheBetterBaseline(DemandShape shape, long seed) {
        assertFalseRefusalsUnderATenth(shape, seed);
    }

    @ParameterizedTest
    @CsvSource({"STEADY,1", "STEADY,2", "STEADY,3"})
    void steadyDemandIsNotRefusedFalselyWhileATenthIsLeft(DemandShape shape, long seed) {
        assertThat(run(shape, seed).get(0).falseRefusalsWithTenthLeft()).isZero();
    }

    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({"SHIFTING,1", "BURSTING,2"})
    void movingDemandIsNotRefusedFalselyWhileATenthIsLeft(DemandShape shape, long seed) {
        assertThat(run(shape, seed).get(0).falseRefusalsWithTenthLeft()).isZero();
    }
}
