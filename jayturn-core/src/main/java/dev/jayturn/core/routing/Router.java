package dev.jayturn.core.routing;

import dev.jayturn.core.membership.LoadReport;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.membership.Upstream;
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

/**
 * Selects an upstream for a request. The load of an upstream is estimated from the requests that
 * this instance has in flight and from the delayed load reports of the upstreams.
 */
public final class Router {
    private static final Comparator<Candidate> BY_ID =
            Comparator.comparing(candidate -> candidate.upstream().id());

    private final MembersView members;
    private final CircuitBreakers breakers;
    private final Map<String, RoutingPolicy> policies;
    private final RoutingPolicy leastLoaded;
    private final Map<String, Integer> inFlight = new HashMap<>();

    /** Creates a router with one instance of each policy that rules can name. */
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

    /** Returns the selected upstream, or the result code for a refusal if there is none. */
    public Either<ResultCode, RouteChoice> route(RouteQuery query) {
        List<Upstream> available = members.available(query.service(), query.model());
        double fleetToLocalRatio = fleetToLocalRatio(available);
        List<Candidate> candidates = new ArrayList<>();
        for (Upstream upstream : available) {
            boolean excluded = query.excluded().contains(upstream.id());
            if (!excluded && breakers.allows(upstream.id())) {
                candidates.add(new Candidate(upstream, load(upstream, fleetToLocalRatio)));
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
     * Returns the ratio of requests reported by the upstreams to requests in flight from this
     * instance, at least 1. Load reports are one or two seconds old: their sum is a good estimate
     * of the total load, but they do not show which upstream is least loaded now.
     */
    private double fleetToLocalRatio(List<Upstream> upstreams) {
        long reported = 0;
        long local = 0;
        for (Upstream upstream : upstreams) {
            LoadReport report = members.load(upstream.id());
            reported += report.running() + report.queued();
            local += inFlight(upstream.id());
        }
        return local == 0 ? 1 : Math.max(1, (double) reported / local);
    }

    private double load(Upstream upstream, double fleetToLocalRatio) {
        return inFlight(upstream.id()) * fleetToLocalRatio / Math.max(1, upstream.capacity());
    }

    /** Records that a request was sent to an upstream. */
    public void requestStarted(String upstreamId) {
        inFlight.merge(upstreamId, 1, Integer::sum);
    }

    /** Records that a request to an upstream is no longer in flight. */
    public void requestFinished(String upstreamId) {
        inFlight.merge(upstreamId, -1, Integer::sum);
        inFlight.remove(upstreamId, 0);
    }

    /** Returns the number of requests that this instance has in flight at an upstream. */
    public int inFlight(String upstreamId) {
        return inFlight.getOrDefault(upstreamId, 0);
    }
}
