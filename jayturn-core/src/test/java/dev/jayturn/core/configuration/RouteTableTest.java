package dev.jayturn.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.jayturn.core.result.ResultCode;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class RouteTableTest {
    private static Route route(String name, String prefix, long timeoutMillis, double weight) {
        return new Route(
                name,
                "orders.example",
                prefix,
                RequestKind.IDEMPOTENT,
                timeoutMillis,
                400,
                0,
                1,
                List.of(new ServiceWeight("press", weight)),
                2,
                false,
                false,
                RegionSet.ALL);
    }

    private static Configuration configuration(List<Route> routes, List<Customer> customers) {
        return new Configuration(
                1,
                routes,
                List.of(new Service("press", "/health", 10, 0, null)),
                RequestLimits.DEFAULTS,
                true,
                customers);
    }

    private static Customer customer(String name, String key) {
        return new Customer(name, List.of(key), 1, OptionalLong.empty(), RegionSet.ALL);
    }

    @Test
    void longestMatchingPathPrefixWins() {
        RouteTable table =
                new RouteTable(
                        configuration(
                                List.of(route("all", "/", 100, 1), route("a", "/a/", 100, 1)),
                                List.of()));
        assertThat(table.findRoute("orders.example:80", "/a/1?x=/b/"))
                .extracting("name")
                .isEqualTo("a");
        assertThat(table.findRoute("ORDERS.example", "/b")).extracting("name").isEqualTo("all");
        assertThat(table.findRoute("other.example", "/a/1")).isNull();
    }

    @Test
    void keyIdentifiesItsCustomer() {
        RouteTable table = new RouteTable(configuration(List.of(), List.of(customer("roy", "k1"))));
        assertThat(table.findCustomer("k1")).extracting("name").isEqualTo("roy");
        assertThat(table.findCustomer("k2")).isNull();
    }

    private static void assertRejected(Configuration configuration, ResultCode code) {
        assertThatThrownBy(() -> ConfigurationChecker.check(configuration))
                .isInstanceOfSatisfying(
                        ConfigurationException.class, e -> assertThat(e.code()).isEqualTo(code));
    }

    @Test
    void inconsistentConfigurationIsRejectedWithItsCode() {
        assertRejected(
                configuration(List.of(route("a", "/", 0, 1)), List.of()),
                ResultCode.CONFIGURATION_NO_TIMEOUT);
        assertRejected(
                configuration(List.of(route("a", "/", 9, 0)), List.of()),
                ResultCode.CONFIGURATION_NO_WEIGHT);
        assertRejected(
                configuration(List.of(route("a", "/", 9, 1), route("b", "/", 9, 1)), List.of()),
                ResultCode.CONFIGURATION_ROUTE_CLASH);
        assertRejected(
                configuration(List.of(), List.of(customer("a", "k"), customer("b", "k"))),
                ResultCode.CONFIGURATION_SHARED_KEY);
        Route unknownService =
                new Route(
                        "a",
                        "h",
                        "/",
                        RequestKind.STREAM,
                        9,
                        9,
                        9,
                        0,
                        List.of(new ServiceWeight("nobody", 1)),
                        1,
                        true,
                        true,
                        RegionSet.ALL);
        assertRejected(
                configuration(List.of(unknownService), List.of()),
                ResultCode.CONFIGURATION_UNKNOWN_SERVICE);
    }
}
