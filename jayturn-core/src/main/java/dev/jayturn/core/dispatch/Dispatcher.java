package dev.jayturn.core.dispatch;

import dev.jayturn.core.configuration.RegionSet;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.ratelimit.RateLimits;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.StreamOrigin;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Decides whether a request is sent to an upstream, and to which one, or refused. */
public final class Dispatcher {
    /** Suggested retry delay while all connections are in use, of which some are free soon. */
    private static final long CONNECTIONS_USED_RETRY_MILLIS = 300;

    /** Suggested retry delay if no upstream is available. */
    private static final long NO_UPSTREAM_RETRY_MILLIS = 700;

    private static final long MIN_RETRY_MILLIS = 200;

    /** Callers refused during a pause return over this time after it, not all at its end. */
    private static final int PAUSE_RETRY_SPREAD_MILLIS = 400;

    /** Callers refused at a rate limit return over at least this time. */
    private static final long LIMIT_RETRY_SPREAD_MILLIS = 400;

    private final UpstreamRegistry upstreams;
    private final PlacementPolicy placement;
    private final RandomSource random;
    private RateLimits rateLimits = RateLimits.NONE;
    private BooleanSupplier directoryCheck = () -> true;
    private final List<UpstreamFilter> filters = new ArrayList<>();

    public Dispatcher(UpstreamRegistry upstreams, PlacementPolicy placement, RandomSource random) {
        this.upstreams = upstreams;
        this.placement = placement;
        this.random = random;
    }

    /** Sets the rate limits of the upstreams. */
    public void setRateLimits(RateLimits limits) {
        rateLimits = limits;
    }

    /**
     * Sets the check whether the upstreams are known as they are now. While they are not, no stream
     * goes on at any of them: another version may run there.
     */
    public void setDirectoryCheck(BooleanSupplier check) {
        directoryCheck = check;
    }

    /** Adds a condition that an upstream has to meet. */
    public void addFilter(UpstreamFilter filter) {
        filters.add(filter);
    }

    /**
     * A request that has not been answered yet.
     *
     * @param origin software that began the stream, the only one that may continue it; null if no
     *     event has been received
     * @param triedIds ids of the upstreams that the request was already sent to
     * @param remainingMillis time until the deadline of the request
     * @param regions regions whose upstreams may get the request
     */
    public record Query(
            String service,
            RequestProfile profile,
            @Nullable StreamOrigin origin,
            Set<String> triedIds,
            long remainingMillis,
            long nowMillis,
            RegionSet regions) {
        /** Creates the query of a request that may be served in every region. */
        public Query(
                String service,
                RequestProfile profile,
                @Nullable StreamOrigin origin,
                Set<String> triedIds,
                long remainingMillis,
                long nowMillis) {
            this(service, profile, origin, triedIds, remainingMillis, nowMillis, RegionSet.ALL);
        }
    }

    /**
     * The decision on a request.
     *
     * @param upstream null if the request is refused
     * @param expectedMillis expected time to the first event or answer
     * @param code reason of a refusal, otherwise OK. The codes say that the request has not run,
     *     which is true only if it was not sent to an upstream before.
     * @param retryAfterMillis delay after which a retry may succeed
     * @param candidateCount number of upstreams that the request could have been sent to
     */
    public record Decision(
            @Nullable UpstreamLoad upstream,
            double expectedMillis,
            ResultCode code,
            long retryAfterMillis,
            int candidateCount) {
        static Decision refuse(ResultCode code, long retryAfterMillis, int candidateCount) {
            return new Decision(null, 0, code, retryAfterMillis, candidateCount);
        }
    }

    /**
     * Returns whether an upstream that was chosen before meets the conditions for the request as
     * they are now; asked right before the request is sent.
     */
    public boolean admits(Query query, UpstreamLoad upstream) {
        return filters.stream().allMatch(filter -> filter.admits(query, upstream));
    }

    /**
     * Decides on a request. An upstream that asked for a pause or whose rate limit is used up is
     * never a candidate; if all are, the request is refused until the first one may get it.
     *
     * @param connectable whether this instance can get a connection to an upstream
     */
    public Decision decide(Query query, Predicate<UpstreamLoad> connectable) {
        List<UpstreamLoad> candidates = new ArrayList<>();
        long shortestPauseMillis = Long.MAX_VALUE;
        long shortestLimitMillis = Long.MAX_VALUE;
        boolean connectionsUsed = false;
        List<UpstreamLoad> ofService = upstreams.ofService(query.service());
        List<UpstreamLoad> allowed = upstreamsThatContinue(query.origin(), ofService);
        if (allowed.isEmpty() && !ofService.isEmpty()) {
            return Decision.refuse(ResultCode.STREAM_VERSION_GONE, NO_UPSTREAM_RETRY_MILLIS, 0);
        }
        for (UpstreamFilter filter : filters) {
            List<UpstreamLoad> admitted = admitted(filter, query, allowed);
            if (admitted.isEmpty() && !allowed.isEmpty()) {
                return Decision.refuse(filter.refusal(), NO_UPSTREAM_RETRY_MILLIS, 0);
            }
            allowed = admitted;
        }
        for (UpstreamLoad upstream : allowed) {
            if (query.triedIds().contains(upstream.heartbeat().id())) {
                continue;
            }
            if (!connectable.test(upstream)) {
                connectionsUsed = true;
                continue;
            }
            long pauseMillis = upstream.remainingPauseMillis(query.nowMillis());
            if (pauseMillis > 0) {
                shortestPauseMillis = Math.min(shortestPauseMillis, pauseMillis);
            } else if (rateLimits.admits(upstream.heartbeat().incarnationId())) {
                candidates.add(upstream);
            } else {
                long limitMillis = rateLimits.retryMillis(upstream.heartbeat().incarnationId());
                shortestLimitMillis = Math.min(shortestLimitMillis, limitMillis);
            }
        }
        if (candidates.isEmpty() && shortestLimitMillis < shortestPauseMillis) {
            long spreadMillis = Math.max(LIMIT_RETRY_SPREAD_MILLIS, shortestLimitMillis);
            return Decision.refuse(
                    ResultCode.UPSTREAMS_LIMITED,
                    shortestLimitMillis + random.nextInt((int) spreadMillis),
                    0);
        }
        if (candidates.isEmpty() && shortestPauseMillis < Long.MAX_VALUE) {
            return Decision.refuse(
                    ResultCode.UPSTREAMS_PAUSED,
                    shortestPauseMillis + random.nextInt(PAUSE_RETRY_SPREAD_MILLIS),
                    0);
        }
        if (candidates.isEmpty() && connectionsUsed) {
            return Decision.refuse(ResultCode.CONNECTIONS_USED, CONNECTIONS_USED_RETRY_MILLIS, 0);
        }
        PlacementPolicy.Choice choice =
                placement.choose(query.profile(), candidates, query.nowMillis());
        if (choice == null) {
            return Decision.refuse(
                    ResultCode.NO_UPSTREAM, NO_UPSTREAM_RETRY_MILLIS, candidates.size());
        }
        if (choice.expectedMillis() > query.remainingMillis()) {
            long missingMillis = (long) (choice.expectedMillis() - query.remainingMillis());
            return Decision.refuse(
                    ResultCode.DEADLINE_UNREACHABLE,
                    Math.max(MIN_RETRY_MILLIS, missingMillis),
                    candidates.size());
        }
        return new Decision(
                choice.upstream(), choice.expectedMillis(), ResultCode.OK, 0, candidates.size());
    }

    private static List<UpstreamLoad> admitted(
            UpstreamFilter filter, Query query, List<UpstreamLoad> upstreams) {
        return filter.isRestrictive(query)
                ? upstreams.stream().filter(upstream -> filter.admits(query, upstream)).toList()
                : upstreams;
    }

    private List<UpstreamLoad> upstreamsThatContinue(
            @Nullable StreamOrigin origin, List<UpstreamLoad> upstreams) {
        if (origin == null) {
            return upstreams;
        }
        return directoryCheck.getAsBoolean()
                ? upstreams.stream()
                        .filter(upstream -> origin.isContinuedBy(upstream.heartbeat()))
                        .toList()
                : List.of();
    }
}
