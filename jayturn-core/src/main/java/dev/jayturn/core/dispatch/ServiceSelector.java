package dev.jayturn.core.dispatch;

import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.configuration.ServiceWeight;
import dev.jayturn.core.random.RandomSource;
import java.util.List;

/** Selects the service of a request at random, by the weights of its route. */
public final class ServiceSelector {
    private static final int RANDOM_STEPS = 1 << 20;

    private ServiceSelector() {}

    /** Returns the name of the selected service. */
    public static String select(Route route, RandomSource random) {
        List<ServiceWeight> services = route.serviceWeights();
        double sum = 0;
        for (ServiceWeight service : services) {
            sum += service.weight();
        }
        double remaining = sum * random.nextInt(RANDOM_STEPS) / RANDOM_STEPS;
        for (ServiceWeight service : services) {
            remaining -= service.weight();
            if (remaining < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
