package dev.jayturn.daemon.proxy;

import static java.util.stream.Collectors.toSet;

import dev.jayturn.core.admission.ReservedRoom;
import dev.jayturn.core.configuration.RequestLimits;
import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.configuration.RouteTable;
import dev.jayturn.core.configuration.Service;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.dispatch.ConnectionShare;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.PeerLoads;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import dev.jayturn.core.drain.DrainAdmission;
import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.limits.LinkPeer;
import dev.jayturn.core.loadview.FleetLoads;
import dev.jayturn.core.quarantine.Quarantine;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.ratelimit.ColdUpstreams;
import dev.jayturn.core.ratelimit.UpstreamRateLimiter;
import dev.jayturn.core.resumption.StreamOrigins;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.link.LinkMeter;
import dev.jayturn.daemon.metrics.FleetMetrics;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** State shared by all exchanges of an entry instance; used on its event loop only. */
public final class Forwarder {
    private final TimerService timers;
    private final HeaderCodec codec;
    private final RandomSource random;
    private final EventLog log;
    private final FleetMetrics metrics;
    private final CustomerOutcomes customerOutcomes;
    private final LinkLimiter linkLimiter;
    private final double linkReserve;
    private final ReservedRoom linkRoom;
    private final LinkMeter callerLinkMeter;
    private final UpstreamRegistry upstreams;
    private final Dispatcher dispatcher;
    private final UpstreamConnectionPools pools;
    private final ServiceRetryBudgets retryBudgets;
    private final RetryQueue tokenWaitQueue = new RetryQueue();
    private final RetryQueue permitWaitQueue = new RetryQueue();
    private final Quarantine quarantine;
    private final StartupQueue startupQueue = new StartupQueue();
    private @Nullable EntryInstance entryInstance;
    private @Nullable PeerLoads peerLoads;
    private @Nullable FleetLoads fleetLoads;
    private @Nullable UpstreamRateLimiter rateLimiter;
    private @Nullable ColdUpstreams permits;
    private @Nullable StreamOrigins streamOrigins;
    private @Nullable RouteTable routes;
    private final DrainAdmission drainAdmission = new DrainAdmission();
    private final Set<Exchange> openExchanges = new LinkedHashSet<>();
    private final BodyMemory bodyMemory;

    /**
     * Limits on the retries of all entry instances together.
     *
     * @param windowMillis length of the sliding window in which retries and requests are counted
     * @param ratio maximum number of retries per request
     * @param slack number of retries allowed in addition
     */
    public record RetryBounds(long windowMillis, double ratio, double slack) {}

    /**
     * Creates a forwarder.
     *
     * @param linkReserve share of the link that the requests which cost callers least leave to
     *     others
     * @param source address that connections to upstreams come from; null if the system chooses it
     */
    public Forwarder(
            EventLoop loop,
            TimerService timers,
            HeaderCodec codec,
            RandomSource random,
            EventLog log,
            FleetMetrics metrics,
            LinkLimiter linkLimiter,
            double linkReserve,
            UpstreamRegistry upstreams,
            Dispatcher dispatcher,
            Quarantine quarantine,
            RetryBounds retryBounds,
            @Nullable InetSocketAddress source) {
        this.timers = timers;
        this.codec = codec;
        this.random = random;
        this.log = log;
        this.metrics = metrics;
        this.customerOutcomes = new CustomerOutcomes(timers, log);
        this.linkLimiter = linkLimiter;
        this.linkReserve = linkReserve;
        this.linkRoom = new ReservedRoom(timers, linkReserve);
        this.callerLinkMeter = new LinkMeter(linkLimiter, LinkPeer.CALLER);
        this.upstreams = upstreams;
        this.dispatcher = dispatcher;
        LinkMeter upstreamLinkMeter = new LinkMeter(linkLimiter, LinkPeer.UPSTREAM);
        this.pools = new UpstreamConnectionPools(loop, timers, codec, upstreamLinkMeter, source);
        this.quarantine = quarantine;
        this.retryBudgets = new ServiceRetryBudgets(timers, log, retryBounds);
        this.bodyMemory = new BodyMemory(timers, log, metrics);
    }

    /**
     * Sets the entry instance, the loads of its peers, the limiter of its requests and the origins
     * of its streams; requests are refused until then.
     */
    public void setEntryInstance(
            EntryInstance instance,
            PeerLoads loads,
            UpstreamRateLimiter limiter,
            ColdUpstreams coldUpstreams,
            StreamOrigins origins) {
        entryInstance = instance;
        peerLoads = loads;
        rateLimiter = limiter;
        permits = coldUpstreams;
        streamOrigins = origins;
        retryBudgets.setEntryInstance(instance);
        coldUpstreams.setConnectionCheck(heartbeat -> pools.isConnected(heartbeat.address()));
        dispatcher.setRateLimits(coldUpstreams);
        dispatcher.setDirectoryCheck(instance::isDirectoryCurrent);
        dispatcher.addFilter(instance.evacuation());
    }

    /** Sets the view of the load of a large fleet. */
    public void setFleetLoads(FleetLoads loads) {
        fleetLoads = loads;
    }

    /** Returns whether this instance knows the upstreams as they are now. */
    boolean isDirectoryCurrent() {
        EntryInstance instance = entryInstance;
        return instance != null && instance.isDirectoryCurrent();
    }

    void onLoadChange() {
        PeerLoads loads = peerLoads;
        if (loads != null) {
            loads.scheduleSend();
        }
        FleetLoads sums = fleetLoads;
        if (sums != null) {
            sums.onWorkChanged();
        }
    }

    /** Replaces the limits on retries, and forgets the retries and requests counted so far. */
    public void setRetryBounds(RetryBounds bounds) {
        retryBudgets.setBounds(bounds);
    }

    /** Sets the routes for new requests, and resumes those that wait for a configuration. */
    public void applyRoutes(RouteTable table) {
        routes = table;
        drainAdmission.retainRoutes(
                table.configuration().routes().stream().map(Route::name).collect(toSet()));
        startupQueue.resumeAll();
    }

    /** Applies the heartbeat of an upstream. */
    public void onUpstream(Heartbeat heartbeat) {
        ColdUpstreams cold = permits;
        if (cold != null) {
            cold.onHeartbeat(heartbeat);
        }
        UpstreamLoad removed = upstreams.accept(heartbeat);
        if (removed != null) {
            pools.closeIdleConnections(removed);
        }
    }

    /** Retries the requests that wait for permits of upstreams at their rate limits. */
    public void onPermits() {
        permitWaitQueue.retryAll();
    }

    /** Retries the requests that wait for tokens. */
    public void onSlices() {
        tokenWaitQueue.retryAll();
    }

    /**
     * Starts draining: each response from now on closes its connection, and requests that cannot
     * end in time are refused.
     *
     * @param leaveMillis time at which the process starts to end
     */
    public void drain(long leaveMillis) {
        drainAdmission.begin(leaveMillis);
        timers.schedule(drainAdmission.endMillis() - timers.nowMillis(), this::endOpenExchanges);
    }

    /** Gives the requests that are still open the best answer that there is for them now. */
    private void endOpenExchanges() {
        int open = openExchanges.size();
        log.event("entry.ending", json -> json.writeNumberField("open", open));
        new ArrayList<>(openExchanges).forEach(Exchange::endForDrain);
    }

    /** Returns whether this instance is draining. */
    public boolean isDraining() {
        return drainAdmission.isDraining();
    }

    DrainAdmission drainAdmission() {
        return drainAdmission;
    }

    /** Returns the number of requests in progress. */
    public int openRequests() {
        return openExchanges.size();
    }

    void onExchangeStarted(Exchange exchange) {
        openExchanges.add(exchange);
    }

    void onExchangeEnded(Exchange exchange) {
        openExchanges.remove(exchange);
    }

    /** Returns the number of bytes of callers' bodies that are held, whole or in part. */
    public long heldBodyBytes() {
        return bodyMemory.heldBytes();
    }

    /** Returns the number of bytes that are set aside for callers' bodies. */
    public long claimedBodyBytes() {
        return bodyMemory.budget().claimedBytes();
    }

    /** Returns the length above which a body is not accepted. */
    long maxBodyBytes() {
        return Math.min(limits().maxBodyBytes(), bodyMemory.budget().largestClaimBytes());
    }

    BodyMemory bodyMemory() {
        return bodyMemory;
    }

    StartupQueue startupQueue() {
        return startupQueue;
    }

    Quarantine quarantine() {
        return quarantine;
    }

    /** Creates a reservation that waits, if tokens are short, with those of other requests. */
    TokenReservation createReservation(
            EntryInstance instance,
            String customer,
            long tokens,
            @Nullable RequestDemand demand,
            TokenReservation.Callback callback) {
        return new TokenReservation(
                timers, tokenWaitQueue, instance, customer, tokens, rankOf(demand), callback);
    }

    /** Returns the position of a request among those that wait for the same. */
    int rankOf(@Nullable RequestDemand demand) {
        return linkReserve == 0 || demand == null ? 0 : demand.waitingRank();
    }

    /** Returns whether the link has room for a request, and counts what it asks for. */
    boolean hasLinkCapacity(RequestDemand demand) {
        double occupancy = linkLimiter.occupancy(demand.isStream());
        boolean admitted = linkRoom.admits(demand.onLink(), occupancy, 1);
        if (!admitted && occupancy < 1) {
            metrics.recordReserved(demand.onLink().priority());
        }
        return admitted;
    }

    RetryQueue permitWaitQueue() {
        return permitWaitQueue;
    }

    TimerService timers() {
        return timers;
    }

    HeaderCodec codec() {
        return codec;
    }

    RandomSource random() {
        return random;
    }

    EventLog log() {
        return log;
    }

    FleetMetrics metrics() {
        return metrics;
    }

    CustomerOutcomes customerOutcomes() {
        return customerOutcomes;
    }

    LinkLimiter linkLimiter() {
        return linkLimiter;
    }

    /** Returns the handler that counts the bytes of the connections of callers. */
    LinkMeter callerLinkMeter() {
        return callerLinkMeter;
    }

    UpstreamRegistry upstreams() {
        return upstreams;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    UpstreamConnectionPools pools() {
        return pools;
    }

    @Nullable EntryInstance entryInstance() {
        return entryInstance;
    }

    @Nullable StreamOrigins streamOrigins() {
        return streamOrigins;
    }

    @Nullable RouteTable routes() {
        return routes;
    }

    RequestLimits limits() {
        RouteTable table = routes;
        return table == null ? RequestLimits.DEFAULTS : table.configuration().limits();
    }

    ServiceRetryBudgets retryBudgets() {
        return retryBudgets;
    }

    /**
     * Applies what an upstream says about itself in a response to one of its requests.
     *
     * @param requestMillis time when the request was sent
     */
    void applyUpstreamNotices(UpstreamLoad upstream, HttpResponse response, long requestMillis) {
        long pauseMillis = codec.requestedPauseMillis(response);
        if (pauseMillis > 0) {
            upstream.pauseUntil(timers.nowMillis() + pauseMillis);
            log.event(
                    "upstream.paused",
                    json -> {
                        json.writeStringField("upstream", upstream.heartbeat().id());
                        json.writeNumberField("millis", pauseMillis);
                    });
        }
        double rateLimit = codec.requestRateLimit(response);
        UpstreamRateLimiter limiter = rateLimiter;
        if (limiter != null && !Double.isNaN(rateLimit)) {
            limiter.onResponse(upstream.heartbeat().incarnationId(), rateLimit, requestMillis);
        }
        if (codec.isLeaving(response) && upstreams.markLeaving(upstream)) {
            pools.closeIdleConnections(upstream);
            log.event(
                    "upstream.leaving",
                    json -> json.writeStringField("upstream", upstream.heartbeat().id()));
        }
    }

    /** Returns whether an upstream that was chosen before still accepts requests. */
    boolean acceptsRequests(UpstreamLoad upstream) {
        EntryInstance instance = entryInstance;
        return instance != null
                && !instance.evacuation().isEmptied(upstream.heartbeat().dataCentre())
                && upstreams.isReady(upstream)
                && upstream.remainingPauseMillis(timers.nowMillis()) == 0;
    }

    /** Uses a permit of an upstream; returns false if there is none, or no rate limit. */
    boolean acquirePermit(UpstreamLoad upstream) {
        ColdUpstreams limiter = permits;
        return limiter != null && limiter.acquire(upstream.heartbeat().incarnationId());
    }

    /** Records that an upstream may have crashed. */
    void onConnectionLost(UpstreamLoad upstream) {
        ColdUpstreams limiter = permits;
        if (limiter != null) {
            limiter.onConnectionLost(upstream.heartbeat().incarnationId());
        }
    }

    /** Returns whether requests to an upstream need permits. */
    boolean needsPermit(UpstreamLoad upstream) {
        ColdUpstreams limiter = permits;
        return limiter != null && limiter.isLimited(upstream.heartbeat().incarnationId());
    }

    /** Takes back the permit of a request that was not sent. */
    void releasePermit(UpstreamLoad upstream) {
        ColdUpstreams limiter = permits;
        if (limiter != null) {
            limiter.release(upstream.heartbeat().incarnationId());
        }
    }

    /** Returns whether permits of an upstream of a service were requested and are to come. */
    boolean isPermitPending(Service service) {
        ColdUpstreams limiter = permits;
        return limiter != null
                && upstreams.ofService(service.name()).stream()
                        .anyMatch(
                                upstream ->
                                        limiter.isAnswerPending(
                                                upstream.heartbeat().incarnationId()));
    }

    /** Returns whether this instance's part of an upstream's connection limit admits a request. */
    boolean canConnect(Service service, UpstreamLoad upstream) {
        EntryInstance instance = entryInstance;
        int instances = instance == null ? 1 : instance.entryCount();
        int maxConnections = ConnectionShare.equalPart(service.maxConnections(), instances);
        return pools.poolOf(upstream).hasCapacity(maxConnections);
    }
}
