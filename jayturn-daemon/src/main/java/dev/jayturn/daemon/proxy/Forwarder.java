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
    private static final double CONNECTION_SHARE = 0.9;

    private static final int LEAST_CONNECTIONS = 2;

    private final TimerService timers;
    private final CallerCodec codec;
    private final RandomSource random;
    private final EventLog log;
    private final FleetMetrics metrics;
    private final LinkLimiter link;
    private final LinkMeter meter;
    private final UpstreamRegistry book;
    private final Dispatcher dispatcher;
    private final UpstreamPools pools;
    private RetryBounds retryBounds;
    private final Map<String, SharedRetryBudget> retries = new HashMap<>();
    private final TokenWaiters tokenWaiters = new TokenWaiters();
    private final StartWaiters startWaiters = new StartWaiters();
    private @Nullable EntryInstance fleet;
    private @Nullable PeerLoads peerLoads;
    private @Nullable RouteTable routes;
    private boolean draining;
    private int open;

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
            CallerCodec codec,
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
        this.link = link;
        this.meter = new LinkMeter(link);
        this.book = book;
        this.dispatcher = dispatcher;
        this.pools = new UpstreamPools(loop, timers, codec, meter);
        this.retryBounds = retryBounds;
    }

    /** Sets the fleet; requests are refused until then. */
    public void join(EntryInstance entry, PeerLoads loads) {
        fleet = entry;
        peerLoads = loads;
    }

    void noteLoadChange() {
        PeerLoads loads = peerLoads;
        if (loads != null) {
            loads.scheduleSend();
        }
    }

    /** Bounds from now on what is sent again. */
    public void setRetryBounds(RetryBounds bounds) {
        retryBounds = bounds;
        retries.clear();
    }

    /** Puts a configuration in force for all requests that come from now on. */
    public void obey(RouteTable table) {
        routes = table;
        startWaiters.release();
    }

    /** Takes what an upstream said of itself. */
    public void onUpstream(Heartbeat heartbeat) {
        UpstreamLoad ended = book.accept(heartbeat);
        if (ended != null) {
            pools.retire(ended);
        }
    }

    /** Lets requests that wait for tokens try again. */
    public void onSlices() {
        tokenWaiters.wake();
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
    public int open() {
        return open;
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    StartWaiters startWaiters() {
        return startWaiters;
    }

    TokenWaiters tokenWaiters() {
        return tokenWaiters;
    }

    TimerService timers() {
        return timers;
    }

    CallerCodec codec() {
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

    LinkLimiter link() {
        return link;
    }

    /** Returns what counts the bytes of each connection of this instance. */
    public LinkMeter meter() {
        return meter;
    }

    UpstreamRegistry book() {
        return book;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    UpstreamPools pools() {
        return pools;
    }

    @Nullable EntryInstance fleet() {
        return fleet;
    }

    @Nullable RouteTable routes() {
        return routes;
    }

    RequestLimits limits() {
        RouteTable table = routes;
        return table == null ? RequestLimits.DEFAULTS : table.configuration().limits();
    }

    int instances() {
        EntryInstance entry = fleet;
        return entry == null ? 1 : entry.entryCount();
    }

    SharedRetryBudget retries(String service) {
        return retries.computeIfAbsent(
                service,
                s ->
                        new SharedRetryBudget(
                                timers,
                                retryBounds.windowMillis(),
                                retryBounds.ratio(),
                                retryBounds.slack()));
    }

    /** Returns whether this instance's part of an upstream's connections has one to spare. */
    boolean hasConnection(Service service, UpstreamLoad upstream) {
        int part = (int) (CONNECTION_SHARE * service.maxConnections() / instances());
        return pools.of(upstream).hasRoom(Math.max(LEAST_CONNECTIONS, part));
    }
}
