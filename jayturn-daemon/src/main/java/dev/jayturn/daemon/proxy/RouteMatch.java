package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.Customer;
import dev.jayturn.core.configuration.RegionSet;
import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.configuration.RouteTable;
import dev.jayturn.core.result.ResultCode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * The route and the customer of a request.
 *
 * @param code {@link ResultCode#OK}, or why the request is refused
 * @param route null if there is none
 * @param customer name of the customer; empty if the route needs no key
 * @param prepaid whether the customer has a budget
 * @param priority priority of the request, 0 being the most urgent
 * @param regions regions that both the route and the customer allow
 */
record RouteMatch(
        ResultCode code,
        @Nullable Route route,
        String customer,
        boolean prepaid,
        int priority,
        RegionSet regions) {
    /** Number of priorities of routes within each priority of customers. */
    private static final int ROUTE_PRIORITIES = 3;

    static RouteMatch find(RouteTable table, HttpRequest head, String apiKey) {
        Route route = table.findRoute(head.headers().get(HttpHeaderNames.HOST, ""), head.uri());
        if (route == null) {
            return new RouteMatch(ResultCode.NO_ROUTE, null, "", false, 0, RegionSet.ALL);
        }
        Customer customer = table.findCustomer(apiKey);
        RegionSet regions =
                customer == null ? route.regions() : route.regions().intersect(customer.regions());
        if (!table.configuration().keyRequired() || route.keyless()) {
            return new RouteMatch(ResultCode.OK, route, "", false, route.priority(), regions);
        }
        if (customer == null) {
            return new RouteMatch(
                    ResultCode.UNAUTHORIZED, route, "", false, route.priority(), regions);
        }
        return new RouteMatch(
                ResultCode.OK,
                route,
                customer.name(),
                customer.prepaidTokens().isPresent(),
                customer.priority() * ROUTE_PRIORITIES + route.priority(),
                regions);
    }
}
