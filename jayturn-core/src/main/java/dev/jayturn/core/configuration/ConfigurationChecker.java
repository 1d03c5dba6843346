package dev.jayturn.core.configuration;

import dev.jayturn.core.result.ResultCode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Validates that a configuration is consistent. */
public final class ConfigurationChecker {
    private ConfigurationChecker() {}

    /**
     * Checks a configuration.
     *
     * @throws ConfigurationException for the first problem found
     */
    public static void check(Configuration configuration) throws ConfigurationException {
        Set<String> services = new HashSet<>();
        for (Service service : configuration.services()) {
            services.add(service.name());
        }
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (Route route : configuration.routes()) {
            checkRoute(route, services);
            if (!hostsAndPrefixes.add(
                    route.host().toLowerCase(Locale.ROOT) + ' ' + route.pathPrefix())) {
                throw new ConfigurationException(
                        ResultCode.CONFIGURATION_ROUTE_CLASH, "route " + route.name());
            }
        }
        checkKeys(configuration);
    }

    private static void checkRoute(Route route, Set<String> services)
            throws ConfigurationException {
        String location = "route " + route.name();
        if (route.timeoutMillis() <= 0) {
            throw new ConfigurationException(ResultCode.CONFIGURATION_NO_TIMEOUT, location);
        }
        double totalWeight = 0;
        for (ServiceWeight serviceWeight : route.serviceWeights()) {
            if (!services.contains(serviceWeight.service())) {
                throw new ConfigurationException(
                        ResultCode.CONFIGURATION_UNKNOWN_SERVICE,
                        location + ", " + serviceWeight.service());
            }
            // The negated comparison also rejects NaN.
            if (!(serviceWeight.weight() >= 0)) {
                throw new ConfigurationException(ResultCode.CONFIGURATION_NO_WEIGHT, location);
            }
            totalWeight += serviceWeight.weight();
        }
        // The negated comparison also rejects NaN.
        if (!(totalWeight > 0) || Double.isInfinite(totalWeight)) {
            throw new ConfigurationException(ResultCode.CONFIGURATION_NO_WEIGHT, location);
        }
    }

    private static void checkKeys(Configuration configuration) throws ConfigurationException {
        Map<String, String> customersByKey = new HashMap<>();
        for (Customer customer : configuration.customers()) {
            for (String key : customer.keys()) {
                String previousOwner = customersByKey.put(key, customer.name());
                if (previousOwner != null && !previousOwner.equals(customer.name())) {
                    throw new ConfigurationException(
                            ResultCode.CONFIGURATION_SHARED_KEY,
                            "customers " + previousOwner + " and " + customer.name());
                }
            }
        }
    }
}
