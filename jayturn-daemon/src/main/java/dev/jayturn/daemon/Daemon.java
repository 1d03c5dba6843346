package dev.jayturn.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.request.EntryNode;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import dev.jayturn.daemon.http.CallerServer;
import dev.jayturn.daemon.http.EntryServices;
import dev.jayturn.daemon.journal.JournalCorruptException;
import dev.jayturn.daemon.loop.ControlLoop;
import dev.jayturn.daemon.loop.ThreadLocalRandomSource;
import dev.jayturn.daemon.metrics.EntryMetrics;
import dev.jayturn.daemon.operator.AdminServer;
import dev.jayturn.daemon.operator.AnnounceApi;
import dev.jayturn.daemon.operator.Gathering;
import dev.jayturn.daemon.operator.OperatorApi;
import dev.jayturn.daemon.operator.OperatorContext;
import dev.jayturn.daemon.peer.GrpcTransport;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import dev.jayturn.daemon.upstream.StreamCanceller;
import dev.jayturn.daemon.upstream.UpstreamPools;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Try;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/** One running instance. */
public final class Daemon implements OperatorContext, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long DRAIN_POLL_MILLIS = 50;

    private final Settings settings;
    private final ControlLoop loop = new ControlLoop();
    private final EventLoopGroup group;
    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final GrpcTransport peers;
    private final AtomicReference<CoreParts> delivery = new AtomicReference<>();
    private final CoreParts parts;
    private final CallerServer callers;
    private final AdminServer operators;
    private final AdminServer announcements;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CountDownLatch drained = new CountDownLatch(1);

    /**
     * Starts an instance.
     *
     * @param initCluster whether a control instance without a log starts a new cluster
     */
    public Daemon(Settings settings, boolean initCluster)
            throws IOException, JournalCorruptException {
        this.settings = settings;
        String name = settings.text(SettingKey.NAME);
        group =
                new MultiThreadIoEventLoopGroup(
                        (int) settings.number(SettingKey.ENTRY_THREADS), NioIoHandler.newFactory());
        Map<String, InetSocketAddress> controls = settings.controls();
        UpstreamPools pools = new UpstreamPools();
        StreamCanceller canceller = new StreamCanceller(pools);
        peers =
                new GrpcTransport(
                        name,
                        settings.address(SettingKey.PEER_LISTEN),
                        controls,
                        loop,
                        this::deliver);
        Transport transport = new UpstreamTransport(peers, canceller, group, loop, this::deliver);
        parts = createParts(initCluster, transport);
        bindMetrics();
        callers = new CallerServer(settings, group, entryServices(pools, canceller));
        operators =
                new AdminServer(
                        settings.address(SettingKey.OPERATOR_LISTEN),
                        group,
                        new OperatorApi(settings.text(SettingKey.OPERATOR_TOKEN), this, registry));
        announcements =
                new AdminServer(
                        settings.address(SettingKey.ANNOUNCE_LISTEN),
                        group,
                        new AnnounceApi(settings.text(SettingKey.ANNOUNCE_TOKEN), loop, hub()));
        logStart();
    }

    private EntryServices entryServices(UpstreamPools pools, StreamCanceller canceller) {
        return new EntryServices(
                loop,
                entry(),
                hub(),
                pools,
                canceller,
                new EntryMetrics(registry),
                draining,
                (int) settings.number(SettingKey.BUFFER));
    }

    private void logStart() {
        LOGGER.atInfo().log(
                "daemon: %s in %s serves callers at %s, operators at %s, upstreams at %s.",
                instance(),
                dataCentre(),
                callers.address(),
                operators.address(),
                announcements.address());
    }

    private CoreParts createParts(boolean initCluster, Transport transport)
            throws IOException, JournalCorruptException {
        Try<CoreParts> made =
                loop.call(
                        () -> {
                            CoreParts created =
                                    new CoreParts(
                                            settings,
                                            initCluster,
                                            transport,
                                            loop,
                                            new ThreadLocalRandomSource());
                            delivery.set(created);
                            return created;
                        });
        if (made.isSuccess()) {
            return made.get();
        }
        Throwables.throwIfInstanceOf(made.getCause(), IOException.class);
        Throwables.throwIfInstanceOf(made.getCause(), JournalCorruptException.class);
        throw new IllegalStateException(made.getCause());
    }

    private void bindMetrics() {
        new JvmMemoryMetrics().bindTo(registry);
        JvmGcMetrics gc = new JvmGcMetrics();
        gc.bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        registry.gauge("jayturn.peer.sent.bytes", peers, GrpcTransport::sentBytes);
        registry.gauge("jayturn.peer.received.bytes", peers, GrpcTransport::receivedBytes);
        registry.gauge("jayturn.calls.open", parts, p -> p.entry().openCalls());
        registry.gauge("jayturn.rules.version", parts, p -> p.hub().rules().version());
        ControlPart control = parts.control();
        if (control != null) {
            registry.gauge("jayturn.journal.syncs", control, ControlPart::journalSyncs);
            registry.gauge("jayturn.intents.open", control, ControlPart::openIntents);
        }
    }

    /** Takes a message on the control loop; what comes before the parts stand is lost. */
    private void deliver(String to, Message message) {
        CoreParts receiver = delivery.get();
        if (receiver != null) {
            receiver.deliver(message);
        }
    }

    /** Returns the callers' address. */
    public InetSocketAddress callerAddress() {
        return callers.address();
    }

    /** Returns the operators' address. */
    public InetSocketAddress operatorAddress() {
        return operators.address();
    }

    /** Returns the upstreams' address. */
    public InetSocketAddress announceAddress() {
        return announcements.address();
    }

    @Override
    public Executor loop() {
        return loop;
    }

    @Override
    public String instance() {
        return settings.text(SettingKey.NAME);
    }

    @Override
    public String dataCentre() {
        return settings.text(SettingKey.DATA_CENTRE);
    }

    @Override
    public int ledgers() {
        return settings.controls().size();
    }

    @Override
    public EntryNode entry() {
        return parts.entry();
    }

    @Override
    public HubClient hub() {
        return parts.hub();
    }

    @Override
    public MembersView members() {
        return parts.members();
    }

    @Override
    public Gathering gathering() {
        return parts.gathering();
    }

    @Override
    public boolean isHealthy() {
        ControlPart control = parts.control();
        return control == null || control.isHealthy();
    }

    @Override
    public boolean isReady() {
        return !draining.get()
                && hub().isSynced()
                && members().version() > 0
                && entry().hasUsableLedger()
                && isHealthy();
    }

    @Override
    public void describeControl(ObjectNode node) {
        ControlPart control = parts.control();
        if (control != null) {
            control.describe(node);
        }
    }

    /** Lets the balancer move on first, then takes nothing new and waits for what is open. */
    @Override
    public void drain() {
        if (!draining.compareAndSet(false, true)) {
            return;
        }
        LOGGER.atInfo().log("daemon: Draining.");
        loop.schedule(settings.number(SettingKey.DRAIN_GRACE), this::refuseNew);
        loop.schedule(settings.number(SettingKey.DRAIN_TIMEOUT), drained::countDown);
    }

    private void refuseNew() {
        callers.close();
        entry().drain();
        loop.every(DRAIN_POLL_MILLIS, this::endIfIdle);
    }

    private void endIfIdle() {
        if (entry().isIdle()) {
            drained.countDown();
        }
    }

    /** Waits until a drain is done. */
    public void awaitDrained() throws InterruptedException {
        drained.await();
        LOGGER.atInfo().log("daemon: Drained.");
    }

    @Override
    public void close() throws IOException {
        loop.close();
        callers.close();
        operators.close();
        announcements.close();
        peers.close();
        ControlPart control = parts.control();
        if (control != null) {
            control.close();
        }
        group.shutdownGracefully();
    }
}
