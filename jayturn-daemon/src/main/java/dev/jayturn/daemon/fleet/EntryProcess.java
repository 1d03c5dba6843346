package dev.jayturn.daemon.fleet;

import dev.jayturn.core.configuration.Configuration;
import dev.jayturn.core.configuration.ConfigurationException;
import dev.jayturn.core.configuration.Engine;
import dev.jayturn.core.configuration.RouteTable;
import dev.jayturn.core.configuration.Service;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.ExpectedTimePlacement;
import dev.jayturn.core.dispatch.LoadShare;
import dev.jayturn.core.dispatch.PeerLoads;
import dev.jayturn.core.dispatch.RegionFilter;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import dev.jayturn.core.fleet.ConfigurationDocument;
import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.fleet.FleetListener;
import dev.jayturn.core.fleet.Peer;
import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.limits.LinkPeer;
import dev.jayturn.core.loadview.FleetLoads;
import dev.jayturn.core.quarantine.EvidenceShare;
import dev.jayturn.core.quarantine.EvidenceSharing;
import dev.jayturn.core.quarantine.EvidenceTable;
import dev.jayturn.core.quarantine.Quarantine;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.ratelimit.ColdUpstreams;
import dev.jayturn.core.ratelimit.UpstreamRateLimiter;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.StaleOriginGuard;
import dev.jayturn.core.resumption.StreamOrigins;
import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.transport.Message;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.head.HeadMemory;
import dev.jayturn.daemon.link.EventLoopTimers;
import dev.jayturn.daemon.link.LinkMeter;
import dev.jayturn.daemon.link.LinkTransport;
import dev.jayturn.daemon.link.ServerSockets;
import dev.jayturn.daemon.loop.LoopDelayMeter;
import dev.jayturn.daemon.loop.ThreadLocalRandomSource;
import dev.jayturn.daemon.metrics.DirectMemory;
import dev.jayturn.daemon.metrics.FleetMetrics;
import dev.jayturn.daemon.proxy.Forwarder;
import dev.jayturn.daemon.proxy.HeaderCodec;
import dev.jayturn.daemon.proxy.ProxyServer;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;

/**
 * Runs an entry instance, which forwards callers' requests to upstreams according to the
 * configuration, heartbeats and slices received from control instances.
 */
public final class EntryProcess implements FleetListener, FleetProcess {
    /** Time for the balancer to notice that the instance is not ready: two one-second checks. */
    private static final long BALANCER_NOTICE_MILLIS = 2_500;

    private static final long DRAIN_POLL_MILLIS = 50;

    /** Subtracted from the grace period, so that the process exits before it is killed. */
    private static final long GRACE_MARGIN_MILLIS = 500;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Time for the last report, which returns the free tokens to the leader, to be sent before the
     * process exits.
     */
    private static final long FINAL_REPORT_MILLIS = 150;

    private static final Set<SettingKey> RETRY_KEYS =
            EnumSet.of(
                    SettingKey.FLEET_RETRY_RATIO,
                    SettingKey.FLEET_RETRY_SLACK,
                    SettingKey.FLEET_RETRY_WINDOW);

    private final FleetMetrics metrics = new FleetMetrics();
    private Settings settings;
    private final EventLoop loop;
    private final ConfigurationCodec codec;
    private final EventLog log;
    private final EventLoopTimers timers;
    private final EntryEventLog events;
    private final Forwarder forwarder;
    private final HeadMemory headMemory;
    private final ProxyServer proxyServer;
    private final RandomSource random = new ThreadLocalRandomSource();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final LinkLimiter linkLimiter;
    private final EvidenceTable evidence = new EvidenceTable();
    private final Quarantine quarantine;
    private final UpstreamRegistry upstreamRegistry = new UpstreamRegistry(this::kvCacheTokens);
    private final ExpectedTimePlacement placement;
    private @Nullable EntryInstance entryInstance;
    private @Nullable PeerLoads peerLoads;
    private @Nullable FleetLoads fleetLoads;
    private @Nullable UpstreamRateLimiter rateLimiter;
    private @Nullable StreamOrigins streamOrigins;
    private @Nullable StaleOriginGuard originGuard;
    private @Nullable RouteTable routeTable;

    public EntryProcess(
            Settings settings,
            EventLoop loop,
            ConfigurationCodec codec,
            HeaderCodec callerCodec,
            EventLog log) {
        this.settings = settings;
        this.loop = loop;
        this.codec = codec;
        this.log = log;
        this.timers = new EventLoopTimers(loop);
        this.events = new EntryEventLog(log);
        this.quarantine = new Quarantine(timers, evidence, events);
        this.linkLimiter =
                new LinkLimiter(timers, settings.decimal(SettingKey.FLEET_LINK_CAPACITY));
        this.placement = new ExpectedTimePlacement(FleetSettings.location(settings), random);
        Dispatcher dispatcher = new Dispatcher(upstreamRegistry, placement, random);
        dispatcher.addFilter(new RegionFilter(FleetSettings.location(settings)));
        this.forwarder =
                new Forwarder(
                        loop,
                        timers,
                        callerCodec,
                        random,
                        log,
                        metrics,
                        linkLimiter,
                        settings.decimal(SettingKey.FLEET_RESERVE),
                        upstreamRegistry,
                        dispatcher,
                        quarantine,
                        retryBounds(settings),
                        FleetSettings.sourceAddress(settings));
        this.headMemory = HeadMemoryLog.createMemory(settings, log, metrics);
        this.proxyServer = new ProxyServer(loop, forwarder, headMemory);
    }

    private static Forwarder.RetryBounds retryBounds(Settings settings) {
        return new Forwarder.RetryBounds(
                (long) (settings.decimal(SettingKey.FLEET_RETRY_WINDOW) * MILLIS_PER_SECOND),
                settings.decimal(SettingKey.FLEET_RETRY_RATIO),
                settings.decimal(SettingKey.FLEET_RETRY_SLACK));
    }

    /**
     * Starts the entry instance; call on the event loop.
     *
     * @param startedAt clocks at the start of this process
     * @throws IOException if it cannot listen for callers
     */
    public void start(ClockReading startedAt, HttpHandler readinessHandler) throws IOException {
        String self = FleetSettings.linkAddress(settings);
        LinkTransport transport =
                new LinkTransport(
                        self,
                        loop,
                        timers,
                        metrics,
                        new LinkMeter(linkLimiter, LinkPeer.INSTANCE),
                        log,
                        this::onMessage);
        transport.listen(
                settings.address(SettingKey.FLEET_LISTEN), FleetSettings.frameBytes(settings));
        EntryInstance entry =
                new EntryInstance(
                        self,
                        settings.text(SettingKey.DATA_CENTRE),
                        FleetSettings.seedAddresses(settings),
                        transport,
                        timers,
                        random,
                        System::currentTimeMillis,
                        startedAt,
                        this);
        PeerLoads loads = new PeerLoads(self, upstreamRegistry, transport, timers);
        entryInstance = entry;
        peerLoads = loads;
        shareLoads(self, transport);
        UpstreamRateLimiter limiter =
                new UpstreamRateLimiter(
                        self,
                        timers,
                        transport,
                        entry::controlAddresses,
                        events,
                        forwarder::onPermits);
        rateLimiter = limiter;
        StreamOrigins origins = new StreamOrigins(self, timers, transport, entry::controlAddresses);
        streamOrigins = origins;
        originGuard = new StaleOriginGuard(origins, upstreamRegistry::versionChanges);
        ColdUpstreams cold =
                new ColdUpstreams(
                        limiter,
                        timers,
                        this::coldRequestsPerSecond,
                        entry::isDirectoryCurrent,
                        entry::entryCount,
                        random,
                        events::onCold);
        metrics.registerGauge("jayturn.upstreams.cold", cold::coldUpstreams);
        forwarder.setEntryInstance(entry, loads, limiter, cold, origins);
        entry.evacuation().setListener(this::onEmptied);
        EvidenceSharing evidenceSharing =
                new EvidenceSharing(self, evidence, transport, timers, entry::controlAddresses);
        quarantine.setSharing(evidenceSharing::onChanged);
        quarantine.setTrustedParts(settings.list(SettingKey.FLEET_TRUSTED_PARTS));
        proxyServer.accept(ServerSockets.open(settings.address(SettingKey.FLEET_CALLERS)));
        new HttpApiServer(loop, HttpHeaderValues.APPLICATION_JSON, readinessHandler, headMemory)
                .listen(settings.address(SettingKey.FLEET_READY));
        serveMetrics(entry, limiter);
        log.event("entry.started", json -> json.writeStringField("instance", self));
    }

    private void shareLoads(String self, LinkTransport transport) {
        FleetLoads sums =
                new FleetLoads(
                        self,
                        upstreamRegistry,
                        transport,
                        timers,
                        (int) settings.number(SettingKey.FLEET_LOAD_SUMS));
        fleetLoads = sums;
        placement.setLoadView(sums);
        forwarder.setFleetLoads(sums);
        LoadViewLog.start(sums, timers, metrics, log);
    }

    private void serveMetrics(EntryInstance entry, UpstreamRateLimiter limiter) {
        LoopDelayMeter loopDelay = LoopDelayLog.start(timers, log);
        metrics.registerGauge("jayturn.loop.delay.millis", loopDelay::maxDelayMillis);
        metrics.registerGauge("jayturn.requests.open", forwarder::openRequests);
        metrics.registerGauge("jayturn.connections.callers", proxyServer::connectionCount);
        metrics.registerGauge("jayturn.bodies.held.bytes", forwarder::heldBodyBytes);
        metrics.registerGauge("jayturn.bodies.claimed.bytes", forwarder::claimedBodyBytes);
        metrics.registerGauge("jayturn.memory.direct.bytes", DirectMemory::usedBytes);
        metrics.registerGauge("jayturn.link.sent.share", linkLimiter::sentShare);
        metrics.registerGauge("jayturn.link.received.share", linkLimiter::receivedShare);
        metrics.registerGauge("jayturn.upstreams", () -> upstreamRegistry.all().size());
        metrics.registerGauge("jayturn.upstreams.limited", limiter::limitedUpstreams);
        metrics.registerGauge("jayturn.evacuation.emptied", entry.evacuation()::emptiedCount);
        metrics.registerGauge("jayturn.evacuation.revision", entry.evacuation()::revision);
        metrics.registerGauge("jayturn.parts.quarantined", quarantine::condemnedCount);
        metrics.registerGauge("jayturn.instances", entry::entryCount);
        metrics.registerGauge("jayturn.control.in.touch", () -> entry.isLeaderReachable() ? 1 : 0);
        metrics.registerGauge("jayturn.configuration.version", this::obeyedVersion);
        metrics.registerGauge("jayturn.configuration.held", entry::configurationVersion);
        metrics.registerGauge("jayturn.configuration.newest", entry::newestVersion);
        metrics.registerGauge(
                "jayturn.directory.current", () -> entry.isDirectoryCurrent() ? 1 : 0);
        metrics.registerGauge("jayturn.log.lines.left.out", log::droppedLines);
        new HttpApiServer(
                        loop, HttpHeaderValues.TEXT_PLAIN, new MetricsHandler(metrics), headMemory)
                .listenOptionally(settings.address(SettingKey.METRICS_LISTEN));
    }

    @Override
    public Set<SettingKey> applySettings(Settings changed, Set<SettingKey> keys) {
        settings = changed;
        Set<SettingKey> applied = EnumSet.of(SettingKey.FLEET_GRACE);
        EntryInstance entry = entryInstance;
        if (entry != null && keys.contains(SettingKey.FLEET_SEEDS)) {
            entry.setSeeds(FleetSettings.seedAddresses(changed));
            applied.add(SettingKey.FLEET_SEEDS);
        }
        if (keys.contains(SettingKey.FLEET_TRUSTED_PARTS)) {
            quarantine.setTrustedParts(changed.list(SettingKey.FLEET_TRUSTED_PARTS));
            applied.add(SettingKey.FLEET_TRUSTED_PARTS);
        }
        if (!Collections.disjoint(keys, RETRY_KEYS)) {
            forwarder.setRetryBounds(retryBounds(changed));
            applied.addAll(RETRY_KEYS);
        }
        applied.retainAll(keys);
        return applied;
    }

    private void onMessage(Message message) {
        EntryInstance entry = entryInstance;
        PeerLoads loads = peerLoads;
        FleetLoads sums = fleetLoads;
        UpstreamRateLimiter limiter = rateLimiter;
        StreamOrigins origins = streamOrigins;
        if (loads != null && message instanceof LoadShare share) {
            loads.onShare(share);
        } else if (sums != null && sums.handle(message)) {
            return;
        } else if (message instanceof EvidenceShare share) {
            quarantine.onShare(share);
        } else if (limiter != null && limiter.handle(message)) {
            return;
        } else if (origins != null && origins.handle(message)) {
            return;
        } else if (entry != null) {
            entry.handle(message);
        }
    }

    @Override
    public void onPeers(List<Peer> peers) {
        PeerLoads loads = peerLoads;
        UpstreamRateLimiter limiter = rateLimiter;
        List<String> addresses = new ArrayList<>();
        peers.forEach(peer -> addresses.add(peer.address()));
        if (loads != null && limiter != null) {
            loads.setPeers(addresses);
            FleetLoads sums = fleetLoads;
            if (sums != null) {
                sums.setPeers(addresses);
            }
            limiter.setInstances(addresses);
        }
    }

    private void onEmptied(long revision, List<String> dataCentres) {
        // Requests that wait for permits of upstreams there go elsewhere or are refused.
        forwarder.onPermits();
        events.onEmptied(revision, dataCentres);
    }

    private long obeyedVersion() {
        RouteTable table = routeTable;
        return table == null ? 0 : table.configuration().version();
    }

    private double coldRequestsPerSecond(String service) {
        RouteTable table = routeTable;
        Service configured = table == null ? null : table.findService(service);
        return configured == null ? 0 : configured.coldRequestsPerSecond();
    }

    private long kvCacheTokens(String service) {
        RouteTable table = routeTable;
        Service configured = table == null ? null : table.findService(service);
        Engine engine = configured == null ? null : configured.engine();
        return engine == null ? 0 : engine.kvCacheTokens();
    }

    @Override
    public void onConfiguration(ConfigurationDocument document) throws ConfigurationException {
        Configuration configuration;
        try {
            configuration = codec.decode(DocumentCompression.decompress(document.document()));
            RouteTable table = new RouteTable(configuration);
            routeTable = table;
            forwarder.applyRoutes(table);
        } catch (ConfigurationException e) {
            logUnapplied(document, e);
            throw e;
        } catch (RuntimeException e) {
            logUnapplied(document, e);
            throw new ConfigurationException(
                    ResultCode.CONFIGURATION_UNREADABLE, "version " + document.version());
        }
        log.event(
                "configuration.obeyed",
                json -> json.writeNumberField("version", configuration.version()));
    }

    private void logUnapplied(ConfigurationDocument document, Exception cause) {
        metrics.recordUnappliedConfiguration();
        log.event(
                "configuration.unreadable",
                json -> {
                    json.writeNumberField("version", document.version());
                    json.writeStringField("reason", String.valueOf(cause));
                });
    }

    @Override
    public void onUpstream(Heartbeat heartbeat) {
        forwarder.onUpstream(heartbeat);
        log.event(
                "upstream.changed",
                json -> {
                    json.writeStringField("upstream", heartbeat.id());
                    json.writeStringField("state", heartbeat.state().name());
                    json.writeStringField("address", heartbeat.address());
                    json.writeStringField("version", heartbeat.softwareVersion());
                });
    }

    @Override
    public void onDirectoryOutdated() {
        StaleOriginGuard guard = originGuard;
        if (guard != null) {
            guard.onDirectoryOutdated();
        }
        log.event("directory.outdated", json -> {});
    }

    @Override
    public void onDirectoryCurrent(long sinceMillis) {
        StaleOriginGuard guard = originGuard;
        if (guard != null) {
            guard.onDirectoryCurrent(sinceMillis);
        }
        log.event(
                "directory.current",
                json -> json.writeNumberField("age", timers.nowMillis() - sinceMillis));
    }

    @Override
    public void onSlices() {
        forwarder.onSlices();
    }

    /** Returns whether the balancer may send new callers to this instance. */
    public boolean isReady() {
        EntryInstance entry = entryInstance;
        return entry != null && entry.isSynced() && !forwarder.isDraining();
    }

    /**
     * Starts a drain; call on the event loop. The instance first reports that it is not ready, so
     * that the balancer stops sending callers, then stops accepting connections and waits for open
     * requests. Shortly before the end of the grace period it answers those that are still open,
     * and leaves the fleet.
     */
    public void drain() {
        if (forwarder.isDraining()) {
            return;
        }
        log.event(
                "entry.draining", json -> json.writeNumberField("open", forwarder.openRequests()));
        long graceMillis = (long) (settings.decimal(SettingKey.FLEET_GRACE) * MILLIS_PER_SECOND);
        long leaveMillis = Math.max(0, graceMillis - GRACE_MARGIN_MILLIS);
        forwarder.drain(timers.nowMillis() + leaveMillis);
        timers.schedule(BALANCER_NOTICE_MILLIS, this::closeAndAwaitIdle);
        timers.schedule(leaveMillis, this::leaveFleet);
    }

    private void closeAndAwaitIdle() {
        proxyServer.stopListening();
        timers.every(
                DRAIN_POLL_MILLIS,
                () -> {
                    proxyServer.closeIdleConnections();
                    if (forwarder.openRequests() == 0 && proxyServer.connectionCount() == 0) {
                        leaveFleet();
                    }
                });
    }

    private void leaveFleet() {
        EntryInstance entry = entryInstance;
        if (entry != null) {
            entry.leave();
        }
        timers.schedule(FINAL_REPORT_MILLIS, drained::countDown);
    }

    /** Waits until a drain has finished. */
    public void awaitDrained() throws InterruptedException {
        drained.await();
    }
}
