package dev.jayturn.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.request.EntryNode;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import dev.jayturn.daemon.head.RequestMemory;
import dev.jayturn.daemon.http.CallerServer;
import dev.jayturn.daemon.http.EntryServices;
import dev.jayturn.daemon.journal.JournalCorruptException;
import dev.jayturn.daemon.loop.ControlLoop;
import dev.jayturn.daemon.loop.ThreadLocalRandomSource;
import dev.jayturn.daemon.metrics.EntryMetrics;
import dev.jayturn.daemon.operator.AdminServer;
import dev.jayturn.daemon.operator.AnnounceApi;
import dev.jayturn.daemon.operator.ControlQueryClient;
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

/** A running instance: its servers, transports and core components. */
public final class Daemon implements OperatorContext, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long DRAIN_POLL_MILLIS = 50;
    private static final long BYTES_PER_MEGABYTE = 1 << 20;

    private final Settings settings;
    private final ControlLoop controlLoop = new ControlLoop();
    private final EventLoopGroup group;
    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final GrpcTransport peerTransport;
    private final AtomicReference<CoreComponents> messageReceiver = new AtomicReference<>();
    private final CoreComponents components;
    private final RequestMemory requestMemory;
    private final CallerServer callerServer;
    private final AdminServer operatorServer;
    private final AdminServer announceServer;
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
        String name = settings.text(SettingKey.INSTANCE_NAME);
        group =
                new MultiThreadIoEventLoopGroup(
                        (int) settings.number(SettingKey.ENTRY_THREADS), NioIoHandler.newFactory());
        Map<String, InetSocketAddress> controlAddresses = settings.controlAddresses();
        UpstreamPools pools = new UpstreamPools();
        StreamCanceller canceller = new StreamCanceller(pools);
        peerTransport =
                new GrpcTransport(
                        name,
                        settings.address(SettingKey.PEER_LISTEN),
                        controlAddresses,
                        controlLoop,
                        this::deliver);
        Transport transport =
                new UpstreamTransport(peerTransport, canceller, group, controlLoop, this::deliver);
        components = createComponents(initCluster, transport);
        bindMetrics();
        requestMemory =
                new RequestMemory(
                        group,
                        settings.number(SettingKey.HEADER_MEMORY) * BYTES_PER_MEGABYTE,
                        settings.number(SettingKey.MAX_BODY),
                        registry);
        callerServer = new CallerServer(settings, group, entryServices(pools, canceller));
        operatorServer =
                new AdminServer(
                        "operators",
                        settings.address(SettingKey.OPERATOR_LISTEN),
                        group,
                        requestMemory,
                        new OperatorApi(settings.text(SettingKey.OPERATOR_TOKEN), this, registry));
        announceServer =
                new AdminServer(
                        "upstreams",
                        settings.address(SettingKey.ANNOUNCE_LISTEN),
                        group,
                        requestMemory,
                        new AnnounceApi(
                                settings.text(SettingKey.ANNOUNCE_TOKEN),
                                controlLoop,
                                hubClient()));
        logListenAddresses();
    }

    private EntryServices entryServices(UpstreamPools pools, StreamCanceller canceller) {
        return new EntryServices(
                controlLoop,
                entry(),
                hubClient(),
                pools,
                canceller,
                new EntryMetrics(registry),
                draining,
                requestMemory,
                (int) settings.number(SettingKey.ENTRY_BUFFER));
    }

    private void logListenAddresses() {
        LOGGER.atInfo().log(
                "daemon: %s in %s serves callers at %s, operators at %s, upstreams at %s.",
                instance(),
                dataCentre(),
                callerServer.address(),
                operatorServer.address(),
                announceServer.address());
    }

    private CoreComponents createComponents(boolean initCluster, Transport transport)
            throws IOException, JournalCorruptException {
        Try<CoreComponents> result =
                controlLoop.call(
                        () -> {
                            CoreComponents created =
                                    new CoreComponents(
                                            settings,
                                            initCluster,
                                            transport,
                                            controlLoop,
                                            new ThreadLocalRandomSource());
                            messageReceiver.set(created);
                            return created;
                        });
        if (result.isSuccess()) {
            return result.get();
        }
        Throwables.throwIfInstanceOf(result.getCause(), IOException.class);
        Throwables.throwIfInstanceOf(result.getCause(), JournalCorruptException.class);
        throw new IllegalStateException(result.getCause());
    }

    private void bindMetrics() {
        new JvmMemoryMetrics().bindTo(registry);
        JvmGcMetrics gc = new JvmGcMetrics();
        gc.bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        registry.gauge("jayturn.peer.sent.bytes", peerTransport, GrpcTransport::sentBytes);
        registry.gauge("jayturn.peer.received.bytes", peerTransport, GrpcTransport::receivedBytes);
        registry.gauge("jayturn.calls.open", components, core -> core.entry().openCalls());
        registry.gauge(
                "jayturn.rules.version", components, core -> core.hubClient().rules().version());
        ControlComponents control = components.controlComponents();
        if (control != null) {
            registry.gauge("jayturn.journal.syncs", control, ControlComponents::journalSyncCount);
            registry.gauge(
                    "jayturn.journal.pending.millis",
                    control,
                    ControlComponents::journalPendingMillis);
            registry.gauge("jayturn.intents.open", control, ControlComponents::openIntentCount);
        }
    }

    /** Delivers a message on the control loop; drops it if the components do not exist yet. */
    private void deliver(String to, Message message) {
        CoreComponents receiver = messageReceiver.get();
        if (receiver != null) {
            receiver.deliver(message);
        }
    }

    /** Returns the address that callers connect to. */
    public InetSocketAddress callerAddress() {
        return callerServer.address();
    }

    /** Returns the address that operators connect to. */
    public InetSocketAddress operatorAddress() {
        return operatorServer.address();
    }

    /** Returns the address that upstreams send announcements to. */
    public InetSocketAddress announceAddress() {
        return announceServer.address();
    }

    @Override
    public Executor controlLoop() {
        return controlLoop;
    }

    @Override
    public String instance() {
        return settings.text(SettingKey.INSTANCE_NAME);
    }

    @Override
    public String dataCentre() {
        return settings.text(SettingKey.DATA_CENTRE);
    }

    @Override
    public int ledgerCount() {
        return settings.controlAddresses().size();
    }

    @Override
    public EntryNode entry() {
        return components.entry();
    }

    @Override
    public HubClient hubClient() {
        return components.hubClient();
    }

    @Override
    public MembersView members() {
        return components.members();
    }

    @Override
    public ControlQueryClient queryClient() {
        return components.queryClient();
    }

    @Override
    public boolean isHealthy() {
        ControlComponents control = components.controlComponents();
        return control == null || control.isHealthy();
    }

    @Override
    public boolean isReady() {
        return !draining.get()
                && hubClient().isSynced()
                && members().version() > 0
                && entry().hasUsableLedger()
                && isHealthy();
    }

    @Override
    public void addControlStatus(ObjectNode node) {
        ControlComponents control = components.controlComponents();
        if (control != null) {
            control.addStatus(node);
        }
    }

    /**
     * Starts a drain. The instance first reports that it is not ready, so that the balancer stops
     * sending callers, and after the grace period stops accepting calls and waits for open ones.
     */
    @Override
    public void drain() {
        if (!draining.compareAndSet(false, true)) {
            return;
        }
        LOGGER.atInfo().log("daemon: Draining.");
        controlLoop.schedule(settings.number(SettingKey.DRAIN_GRACE), this::stopAccepting);
        controlLoop.schedule(settings.number(SettingKey.DRAIN_TIMEOUT), drained::countDown);
    }

    private void stopAccepting() {
        callerServer.close();
        entry().drain();
        controlLoop.every(DRAIN_POLL_MILLIS, this::finishIfIdle);
    }

    private void finishIfIdle() {
        if (entry().isIdle()) {
            drained.countDown();
        }
    }

    /** Waits until a drain has finished. */
    public void awaitDrained() throws InterruptedException {
        drained.await();
        LOGGER.atInfo().log("daemon: Drained.");
    }

    @Override
    public void close() throws IOException {
        controlLoop.close();
        callerServer.close();
        operatorServer.close();
        announceServer.close();
        peerTransport.close();
        ControlComponents control = components.controlComponents();
        if (control != null) {
            control.close();
        }
        group.shutdownGracefully();
    }
}
