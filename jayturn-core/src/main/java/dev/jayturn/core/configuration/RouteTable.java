package dev.jayturn.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A configuration indexed for lookup by host, path, API key and service name. */
public final class RouteTable {
    private final Configuration configuration;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Customer> customersByKey = new HashMap<>();
    private final Map<String, Service> servicesByName = new HashMap<>();

    public RouteTable(Configuration configuration) {
        this.configuration = configuration;
        for (Route route : configuration.routes()) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        for (List<Route> routes : routesByHost.values()) {
            routes.sort(longestFirst);
        }
        for (Customer customer : configuration.customers()) {
            for (String key : customer.keys()) {
                customersByKey.put(key, customer);
            }
        }
        for (Service service : configuration.services()) {
            servicesByName.put(service.name(), service);
        }
    }

    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the route of the host with the longest path prefix that matches, or null if none
     * does.
     *
     * @param host the host header, compared without regard to case; a port is ignored
     * @param path the request path; a query string is ignored
     */
    public @Nullable Route findRoute(String host, String path) {
        int colon = host.lastIndexOf(':');
        String hostName = colon < 0 ? host : host.substring(0, colon);
        List<Route> routes = routesByHost.get(hostName.toLowerCase(Locale.ROOT));
        if (routes == null) {
            return null;
        }
        int queryStart = path.indexOf('?');
        String pathWithoutQuery = queryStart < 0 ? path : path.substring(0, queryStart);
        for (Route route : routes) {
            if (pathWithoutQuery.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** Returns the customer that an API key belongs to, or null if the key is unknown. */
    public @Nullable Customer findCustomer(String key) {
        return customersByKey.get(key);
    }

    /** Returns the service of a name, or null if there is none. */
    public @Nullable Service findService(String name) {
        return servicesByName.get(name);
    }
}
