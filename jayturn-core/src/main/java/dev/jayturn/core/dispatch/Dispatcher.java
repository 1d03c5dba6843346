package dev.jayturn.core.dispatch;

import dev.jayturn.core.result.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Decides what becomes of a request now: an upstream to send it to, or an answer at once. */
public final class Dispatcher {
    /** When to come back if no upstream is known or reachable, in milliseconds. */
    private static final long NO_UPSTREAM_RETRY_MILLIS = 700;

    private static final long MIN_RETRY_MILLIS = 200;

    private final UpstreamRegistry upstreams;
    private final PlacementPolicy placement;

    public Dispatcher(UpstreamRegistry book, PlacementPolicy placement) {
        this.upstreams = book;
        this.placement = placement;
    }

    /**
     * A request that has not been answered.
     *
     * @param triedIds upstreams that had it already
     * @param remainingMillis time until it has to be answered
     */
    public record Query(
            String service,
            RequestProfile profile,
            Set<String> triedIds,
            long remainingMillis,
            long nowMillis) {}

    /**
     * What to do.
     *
     * @param upstream null if the request is turned away
     * @param expectedMillis expected time to the first event or answer
     * @param code the answer if it is turned away; true only where it has not run
     * @param retryAfterMillis when the caller may find room
     */
    public record Decision(
            @Nullable UpstreamLoad upstream,
            double expectedMillis,
            ResultCode code,
            long retryAfterMillis,
            int candidateCount) {
        static Decision refuse(ResultCode code, long retryAfterMillis, int candidates) {
            return new Decision(null, 0, code, retryAfterMillis, candidates);
        }
    }

    /**
     * Decides on a request.
     *
     * @param connectable whether an upstream has a connection to spare for this instance
     */
    public Decision decide(Query query, Predicate<UpstreamLoad> connectable) {
        List<UpstreamLoad> candidates = new ArrayList<>();
        for (UpstreamLoad upstream : upstreams.ofService(query.service())) {
            if (!query.triedIds().contains(upstream.heartbeat().id())
                    && connectable.test(upstream)) {
                candidates.add(upstream);
            }
        }
        PlacementPolicy.Choice choice =
                placement.choose(query.profile(), candidates, query.nowMillis());
        if (choice == null) {
            return Decision.refuse(
                    ResultCode.NO_UPSTREAM, NO_UPSTREAM_RETRY_MILLIS, candidates.size());
        }
        if (choice.expectedMillis() > query.remainingMillis()) {
            long wait = (long) (choice.expectedMillis() - query.remainingMillis());
            return Decision.refuse(
                    ResultCode.DEADLINE_UNREACHABLE,
                    Math.max(MIN_RETRY_MILLIS, wait),
                    candidates.size());
        }
        return new Decision(
                choice.upstream(), choice.expectedMillis(), ResultCode.OK, 0, candidates.size());
    }
}
