package dev.jayturn.core.configuration;

import java.util.List;

/**
 * A complete version of the configuration.
 *
 * @param keyRequired whether requests must carry a customer's API key, unless their route is
 *     keyless
 */
public record Configuration(
        long version,
        List<Route> routes,
        List<Service> services,
        RequestLimits limits,
        boolean keyRequired,
        List<Customer> customers) {}
