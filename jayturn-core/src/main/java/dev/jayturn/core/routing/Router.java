package dev.jayturn.core.routing;

import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.membership.UpstreamLoad;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.retry.CircuitBreakers;
import dev.jayturn.core.routing.policy.LeastLoaded;
import dev.jayturn.core.routing.policy.PrefixAffinity;
import dev.jayturn.core.routing.policy.RoundRobin;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Chooses an upstream for a request, from members, own work in flight and lagged reports. */
public final class Router {
    private static final Comparator<Candidate> BY_ID =
            Comparator.comparing(candidate -> candidate.upstream().id());

    private final MembersView members;
    private final CircuitBreakers breakers;
    private final Map<String, RoutingPolicy> policies;
    private final RoutingPolicy leastLoaded;
    private final Map<String, Integer> inFlight = new HashMap<>();

    /** Creates a router with the policies that rules can name. */
    public Router(MembersView members, CircuitBreakers breakers, RandomSource random) {
        this.members = members;
        this.breakers = breakers;
        this.leastLoaded = new LeastLoaded(random);
        this.policies =
                Map.of(
                        "affinity", new PrefixAffinity(leastLoaded),
                        "least", leastLoaded,
                        "robin", new RoundRobin());
    }

    /** Returns a choice, or the code of the refusal. */
    public Either<ResultCode, RouteChoice> route(RouteQuery query) {
        List<Upstream> available = members.available(query.service(), query.model());
        double factor = fleetToLocalRatio(available);
        List<Candidate> candidates = new ArrayList<>();
        for (Upstream upstream : available) {
            boolean excluded = query.excluded().contains(upstream.id());
            if (!excluded && breakers.allows(upstream.id())) {
                candidates.add(new Candidate(upstream, load(upstream, factor)));
            }
        }
        if (candidates.isEmpty()) {
            return Either.left(ResultCode.NO_UPSTREAM);
        }
        candidates.sort(BY_ID);
        RoutingPolicy policy = policies.getOrDefault(query.policy(), leastLoaded);
        Candidate chosen = policy.choose(query, candidates);
        String reason = query.policy() + " load " + Math.round(chosen.load() * 100) + "%";
        return Either.right(new RouteChoice(chosen.upstream(), candidates.size(), reason));
    }

    /**
     * Returns how many calls all instances have in flight for each of this one's. Reports lag by a
     * second or two, so that they tell the sum well but not which upstream is less loaded now.
     */
    private double fleetToLocalRatio(List<Upstream> upstreams) {
        long reported = 0;
        long own = 0;
        for (Upstream upstream : upstreams) {
            UpstreamLoad report = members.load(upstream.id());
            reported += report.running() + report.queued();
            own += inFlight(upstream.id());
        }
        return own == 0 ? 1 : Math.max(1, (double) reported / own);
    }

    private double load(Upstream upstream, double fleetFactor) {
        return inFlight(upstream.id()) * fleetFactor / Math.max(1, upstream.capacity());
    }

    /** Counts a request sent to an upstream. */
    public void requestStarted(String upstreamId) {
        inFlight.merge(upstreamId, 1, Integer::sum);
    }

    /** Counts a request that left an upstream. */
    public void requestFinished(String upstreamId) {
        inFlight.merge(upstreamId, -1, Integer::sum);
        inFlight.remove(upstreamId, 0);
    }

    /** Returns the requests that this instance has at an upstream. */
    public int inFlight(String upstreamId) {
        return inFlight.getOrDefault(upstreamId, 0);
    }
}
