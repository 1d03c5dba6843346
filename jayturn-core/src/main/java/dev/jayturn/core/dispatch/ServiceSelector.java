package dev.jayturn.core.dispatch;

import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.configuration.ServiceWeight;
import dev.jayturn.core.random.RandomSource;
import java.util.List;

/** Draws the service of a request by the weights of its route. */
public final class ServiceSelector {
    private static final int RANDOM_STEPS = 1 << 20;

    private ServiceSelector() {}

    /** Returns the name of a service. */
    public static String select(Route route, RandomSource random) {
        List<ServiceWeight> split = route.serviceWeights();
        double sum = 0;
        for (ServiceWeight part : split) {
            sum += part.weight();
        }
        double left = sum * random.nextInt(RANDOM_STEPS) / RANDOM_STEPS;
        for (ServiceWeight part : split) {
            left -= part.weight();
            if (left < 0) {
                return part.service();
            }
        }
        return split.get(split.size() - 1).service();
    }
}
