package dev.jayturn.core.configuration;

import java.util.List;

/**
 * One version of the configuration, whole.
 *
 * @param keyRequired whether requests need a customer's key
 */
public record Configuration(
        long version,
        List<Route> routes,
        List<Service> services,
        RequestLimits limits,
        boolean keyRequired,
        List<Customer> customers) {}
