package dev.jayturn.lab.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RoutingExperimentTest {
    @ParameterizedTest
    @CsvSource({"80, 1", "160, 1", "160, 2", "200, 1"})
    void affinityHasLowerLatencyAndMoreCacheHitsThanBothBaselines(double rate, long seed) {
        RoutingExperiment.Result affinity = new RoutingExperiment("affinity", rate, seed).run();
        for (String policy : new String[] {"least", "robin"}) {
            RoutingExperiment.Result baseline = new RoutingExperiment(policy, rate, seed).run();
            assertThat(affinity.firstTokenP95()).isLessThan(baseline.firstTokenP95());
            assertThat(affinity.cacheHitRate()).isGreaterThan(baseline.cacheHitRate());
            assertThat(affinity.callsWithinObjectivePerSecond())
                    .isGreaterThanOrEqualTo(baseline.callsWithinObjectivePerSecond() * 0.99);
        }
    }
}
