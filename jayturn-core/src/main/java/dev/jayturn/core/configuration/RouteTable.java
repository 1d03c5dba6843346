package dev.jayturn.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A configuration indexed for requests. */
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

    /** Returns the configuration. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the route with the longest prefix of a path, if any; a port in host is ignored. */
    public @Nullable Route findRoute(String host, String path) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        List<Route> routes = routesByHost.get(name.toLowerCase(Locale.ROOT));
        if (routes == null) {
            return null;
        }
        int query = path.indexOf('?');
        String plain = query < 0 ? path : path.substring(0, query);
        for (Route route : routes) {
            if (plain.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** Returns who holds a key, if anybody. */
    public @Nullable Customer findCustomer(String key) {
        return customersByKey.get(key);
    }

    /** Returns a service by name, if there is one. */
    public @Nullable Service findService(String name) {
        return servicesByName.get(name);
    }
}
