package dev.jayturn.core.configuration;

import dev.jayturn.core.result.ResultCode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Refuses configurations that contradict themselves. */
public final class ConfigurationChecker {
    private ConfigurationChecker() {}

    /**
     * Checks a configuration.
     *
     * @throws ConfigurationException with the first fault found
     */
    public static void check(Configuration configuration) throws ConfigurationException {
        Set<String> services = new HashSet<>();
        for (Service service : configuration.services()) {
            services.add(service.name());
        }
        Set<String> places = new HashSet<>();
        for (Route route : configuration.routes()) {
            checkRoute(route, services);
            if (!places.add(route.host() + ' ' + route.pathPrefix())) {
                throw new ConfigurationException(
                        ResultCode.CONFIGURATION_ROUTE_CLASH, "route " + route.name());
            }
        }
        checkKeys(configuration);
    }

    private static void checkRoute(Route route, Set<String> services)
            throws ConfigurationException {
        String place = "route " + route.name();
        if (route.timeoutMillis() <= 0) {
            throw new ConfigurationException(ResultCode.CONFIGURATION_NO_TIMEOUT, place);
        }
        double sum = 0;
        for (ServiceWeight part : route.serviceWeights()) {
            if (!services.contains(part.service())) {
                throw new ConfigurationException(
                        ResultCode.CONFIGURATION_UNKNOWN_SERVICE, place + ", " + part.service());
            }
            if (!(part.weight() >= 0)) {
                throw new ConfigurationException(ResultCode.CONFIGURATION_NO_WEIGHT, place);
            }
            sum += part.weight();
        }
        if (!(sum > 0)) {
            throw new ConfigurationException(ResultCode.CONFIGURATION_NO_WEIGHT, place);
        }
    }

    private static void checkKeys(Configuration configuration) throws ConfigurationException {
        Map<String, String> owners = new HashMap<>();
        for (Customer customer : configuration.customers()) {
            for (String key : customer.keys()) {
                String other = owners.put(key, customer.name());
                if (other != null && !other.equals(customer.name())) {
                    throw new ConfigurationException(
                            ResultCode.CONFIGURATION_SHARED_KEY,
                            "customers " + other + " and " + customer.name());
                }
            }
        }
    }
}
