package dev.jayturn.core.configuration;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ConfigurationCheckerTest {
    private static Route route(String host, double... weights) {
        List<ServiceWeight> split =
                Arrays.stream(weights).mapToObj(w -> new ServiceWeight("s", w)).toList();
        return new Route(
                "r",
                host,
                "/a/",
                RequestKind.IDEMPOTENT,
                1_000,
                100,
                0,
                0,
                split,
                1,
                true,
                false,
                RegionSet.ALL);
    }

    private static void check(Route... routes) throws ConfigurationException {
        Service service = new Service("s", "/", 8, 0, null);
        ConfigurationChecker.check(
                new Configuration(
                        1,
                        List.of(routes),
                        List.of(service),
                        RequestLimits.DEFAULTS,
                        false,
                        List.of()));
    }

    @Test
    void routesOfDifferentHostsMayShareAPrefix() {
        assertThatCode(() -> check(route("a.example", 1), route("b.example", 1)))
                .doesNotThrowAnyException();
    }

    @Test
    void hostsThatDifferInCaseOnlyAreTheSameHost() {
        assertThatThrownBy(() -> check(route("a.example", 1), route("A.Example", 1)))
                .isInstanceOf(ConfigurationException.class);
    }

    @Test
    void weightsWhoseSumCannotBeRepresentedAreRejected() {
        assertThatThrownBy(() -> check(route("a.example", 1e308, 1e308)))
                .isInstanceOf(ConfigurationException.class);
    }

    @Test
    void weightsThatAddUpToZeroAreRejected() {
        assertThatThrownBy(() -> check(route("a.example", 0, 0)))
                .isInstanceOf(ConfigurationException.class);
    }
}
