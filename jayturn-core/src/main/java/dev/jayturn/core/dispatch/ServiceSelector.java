package dev.jayturn.core.dispatch;

import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.configuration.ServiceWeight;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.StreamOrigin;
import java.util.List;

/**
 * Selects the service of a request: at random, by the weights of its route, or the one that began
 * the stream that the request resumes.
 */
public final class ServiceSelector {
    private static final int RANDOM_STEPS = 1 << 20;

    private ServiceSelector() {}

    /** Returns OK if a route lets a stream go on at the service that began it, or why not. */
    public static ResultCode checkResumption(Route route, StreamOrigin origin) {
        if (!origin.isKnown()) {
            return ResultCode.STREAM_UNKNOWN;
        }
        boolean isAllowed =
                route.serviceWeights().stream()
                        .filter(service -> service.weight() > 0)
                        .anyMatch(service -> service.service().equals(origin.service()));
        return isAllowed ? ResultCode.OK : ResultCode.STREAM_VERSION_GONE;
    }

    /** Returns the name of a service selected at random. */
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
