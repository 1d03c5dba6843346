package dev.jayturn.daemon.proxy;

import dev.jayturn.core.admission.CostRank;
import dev.jayturn.core.admission.ReservedRoom;
import dev.jayturn.core.configuration.Route;

/** What a request asks for, and what it costs its caller if it waits or is refused. */
final class RequestDemand {
    private final ReservedRoom.Demand demand;
    private final boolean isStream;

    private RequestDemand(ReservedRoom.Demand demand, boolean isStream) {
        this.demand = demand;
        this.isStream = isStream;
    }

    static RequestDemand of(RouteMatch match, Route route, CallerRequest request, int bodyBytes) {
        String kind = match.customer() + '/' + route.name();
        long work = bodyBytes + request.profile().maxOutputTokens();
        return new RequestDemand(
                new ReservedRoom.Demand(
                        kind, match.priority(), canMeetObjective(route, request), work),
                request.profile().promptTokens() > 0);
    }

    /**
     * A caller that tries again waits for what is left of its timeout only, so that the rest has
     * passed since its first try.
     */
    private static boolean canMeetObjective(Route route, CallerRequest request) {
        long passedMillis = route.timeoutMillis() - request.timeoutMillis(route.timeoutMillis());
        return passedMillis < route.latencyObjectiveMillis();
    }

    ReservedRoom.Demand onLink() {
        return demand;
    }

    /** Returns whether the request is answered by a stream. */
    boolean isStream() {
        return isStream;
    }

    /** Returns the rank among requests that wait, whatever their work. */
    int waitingRank() {
        return CostRank.of(demand.priority(), demand.meetsObjective(), 0, 0);
    }
}
