package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.RegionSet;
import dev.jayturn.core.configuration.RouteTable;
import dev.jayturn.core.result.ResultCode;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The regions in which one request may be served, by the configuration in force at each decision. A
 * configuration in which the request has no route or customer any more leaves them as they were.
 */
final class RequestRegions {
    private final Supplier<@Nullable RouteTable> routes;
    private final HttpRequest head;
    private final String apiKey;
    private RegionSet allowed = RegionSet.of(List.of());
    private @Nullable RouteTable source;

    RequestRegions(Supplier<@Nullable RouteTable> routes, HttpRequest head, String apiKey) {
        this.routes = routes;
        this.head = head;
        this.apiKey = apiKey;
    }

    /** Returns the regions that the newest configuration allows; none before there is one. */
    RegionSet allowed() {
        RouteTable current = routes.get();
        if (current != null && current != source) {
            source = current;
            RouteMatch match = RouteMatch.find(current, head, apiKey);
            if (match.code() == ResultCode.OK) {
                allowed = match.regions();
            }
        }
        return allowed;
    }
}
