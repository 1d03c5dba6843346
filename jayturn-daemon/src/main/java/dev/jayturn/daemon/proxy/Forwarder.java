package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.RequestLimits;
import dev.jayturn.core.configuration.RouteTable;
import dev.jayturn.core.configuration.Service;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.PeerLoads;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.retry.SharedRetryBudget;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.link.LinkMeter;
import dev.jayturn.daemon.metrics.FleetMetrics;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What all exchanges of an entry instance share; used on its event loop only. */
public final class Forwarder {
    /** Share of an upstream's connection limit that all instances together use. */
    private static final double MAX_CONNECTION_SHARE = 0.9;

    private static final int MIN_CONNECTIONS = 2;

    private final TimerService timers;
    private final HeaderCodec codec;
    private final RandomSource random;
    private final EventLog log;
    private final FleetMetrics metrics;
    private final LinkLimiter linkLimiter;
    private final LinkMeter linkMeter;
    private final UpstreamRegistry upstreams;
    private final Dispatcher dispatcher;
    private final UpstreamConnectionPools pools;
    private RetryBounds retryBounds;
    private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
    private final TokenWaitQueue tokenWaitQueue = new TokenWaitQueue();
    private final StartupQueue startupQueue = new StartupQueue();
    private @Nullable EntryInstance entryInstance;
    private @Nullable PeerLoads peerLoads;
    private @Nullable RouteTable routes;
    private boolean draining;
    private int openRequests;

    /**
     * Bounds on what is sent again, over all instances.
     *
     * @param ratio share of the requests
     * @param slack number allowed beside that
     */
    public record RetryBounds(long windowMillis, double ratio, double slack) {}

    public Forwarder(
            EventLoop loop,
            TimerService timers,
            HeaderCodec codec,
            RandomSource random,
            EventLog log,
            FleetMetrics metrics,
            LinkLimiter link,
            UpstreamRegistry book,
            Dispatcher dispatcher,
            RetryBounds retryBounds) {
        this.timers = timers;
        this.codec = codec;
        this.random = random;
        this.log = log;
        this.metrics = metrics;
        this.linkLimiter = link;
        this.linkMeter = new LinkMeter(link);
        this.upstreams = book;
        this.dispatcher = dispatcher;
        this.pools = new UpstreamConnectionPools(loop, timers, codec, linkMeter);
        this.retryBounds = retryBounds;
    }

    /** Sets the fleet; requests are refused until then. */
    public void setEntryInstance(EntryInstance entry, PeerLoads loads) {
        entryInstance = entry;
        peerLoads = loads;
    }

    void onLoadChange() {
        PeerLoads loads = peerLoads;
        if (loads != null) {
            loads.scheduleSend();
        }
    }

    /** Bounds from now on what is sent again. */
    public void setRetryBounds(RetryBounds bounds) {
        retryBounds = bounds;
        retryBudgets.clear();
    }

    /** Puts a configuration in force for all requests that come from now on. */
    public void applyRoutes(RouteTable table) {
        routes = table;
        startupQueue.resumeAll();
    }

    /** Takes what an upstream said of itself. */
    public void onUpstream(Heartbeat heartbeat) {
        UpstreamLoad ended = upstreams.accept(heartbeat);
        if (ended != null) {
            pools.closeIdleConnections(ended);
        }
    }

    /** Lets requests that wait for tokens try again. */
    public void onSlices() {
        tokenWaitQueue.retryAll();
    }

    /** Has answers end their connections from now on. */
    public void drain() {
        draining = true;
    }

    /** Returns whether the instance is draining. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns the number of requests that have not ended. */
    public int openRequests() {
        return openRequests;
    }

    void onExchangeStarted() {
        openRequests++;
    }

    void onExchangeEnded() {
        openRequests--;
    }

    StartupQueue startupQueue() {
        return startupQueue;
    }

    TokenWaitQueue tokenWaitQueue() {
        return tokenWaitQueue;
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

    LinkLimiter linkLimiter() {
        return linkLimiter;
    }

    /** Returns what counts the bytes of each connection of this instance. */
    public LinkMeter linkMeter() {
        return linkMeter;
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

    @Nullable RouteTable routes() {
        return routes;
    }

    RequestLimits limits() {
        RouteTable table = routes;
        return table == null ? RequestLimits.DEFAULTS : table.configuration().limits();
    }

    int instanceCount() {
        EntryInstance entry = entryInstance;
        return entry == null ? 1 : entry.entryCount();
    }

    SharedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                s ->
                        new SharedRetryBudget(
                                timers,
                                retryBounds.windowMillis(),
                                retryBounds.ratio(),
                                retryBounds.slack()));
    }

    /** Returns whether this instance's part of an upstream's connections has one to spare. */
    boolean canConnect(Service service, UpstreamLoad upstream) {
        int part = (int) (MAX_CONNECTION_SHARE * service.maxConnections() / instanceCount());
        return pools.poolOf(upstream).hasCapacity(Math.max(MIN_CONNECTIONS, part));
    }
}
