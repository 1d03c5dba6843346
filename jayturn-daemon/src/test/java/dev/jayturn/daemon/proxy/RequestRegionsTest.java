package dev.jayturn.daemon.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.configuration.Configuration;
import dev.jayturn.core.configuration.Customer;
import dev.jayturn.core.configuration.RegionSet;
import dev.jayturn.core.configuration.RequestKind;
import dev.jayturn.core.configuration.RequestLimits;
import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.configuration.RouteTable;
import dev.jayturn.core.configuration.ServiceWeight;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class RequestRegionsTest {
    private static final String KEY = "k";
    private static final RegionSet NORTH = RegionSet.of(List.of("north"));
    private static final RegionSet SOUTH = RegionSet.of(List.of("south"));
    private static final RegionSet BOTH = RegionSet.of(List.of("north", "south"));

    private @Nullable RouteTable table;

    private static RouteTable table(
            String prefix, RegionSet ofRoute, RegionSet ofCustomer, boolean keyless) {
        Route route =
                new Route(
                        "r",
                        "h",
                        prefix,
                        RequestKind.IDEMPOTENT,
                        1_000,
                        100,
                        0,
                        0,
                        List.of(new ServiceWeight("s", 1)),
                        1,
                        keyless,
                        false,
                        ofRoute);
        Customer customer = new Customer("c", List.of(KEY), 0, OptionalLong.empty(), ofCustomer);
        return new RouteTable(
                new Configuration(
                        1,
                        List.of(route),
                        List.of(),
                        RequestLimits.DEFAULTS,
                        true,
                        List.of(customer)));
    }

    private RequestRegions regions(String apiKey) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a/1");
        head.headers().set(HttpHeaderNames.HOST, "h");
        return new RequestRegions(() -> table, head, apiKey);
    }

    @Test
    void regionsOfTheRouteAndOfTheCustomerBothBind() {
        table = table("/a/", BOTH, NORTH, false);
        assertThat(regions(KEY).allowed()).isEqualTo(NORTH);
        table = table("/a/", RegionSet.ALL, SOUTH, false);
        assertThat(regions(KEY).allowed()).isEqualTo(SOUTH);
        table = table("/a/", SOUTH, NORTH, false);
        assertThat(regions(KEY).allowed().isEmpty()).isTrue();
    }

    @Test
    void customerIsBoundOnKeylessRoutesToo() {
        table = table("/a/", BOTH, NORTH, true);
        assertThat(regions(KEY).allowed()).isEqualTo(NORTH);
        assertThat(regions("").allowed()).isEqualTo(BOTH);
    }

    @Test
    void newestConfigurationBinds() {
        table = table("/a/", BOTH, RegionSet.ALL, false);
        RequestRegions regions = regions(KEY);
        assertThat(regions.allowed()).isEqualTo(BOTH);
        table = table("/a/", SOUTH, RegionSet.ALL, false);
        assertThat(regions.allowed()).isEqualTo(SOUTH);
        table = table("/a/", RegionSet.ALL, RegionSet.ALL, false);
        assertThat(regions.allowed()).isEqualTo(RegionSet.ALL);
    }

    @Test
    void requestWhoseRouteIsRemovedStaysBound() {
        table = table("/a/", SOUTH, RegionSet.ALL, false);
        RequestRegions regions = regions(KEY);
        assertThat(regions.allowed()).isEqualTo(SOUTH);
        table = table("/b/", RegionSet.ALL, RegionSet.ALL, false);
        assertThat(regions.allowed()).isEqualTo(SOUTH);
    }

    @Test
    void requestMayGoNowhereBeforeThereIsAConfiguration() {
        assertThat(regions(KEY).allowed().isEmpty()).isTrue();
    }
}
