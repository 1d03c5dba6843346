package dev.jayturn.daemon.fleet;

import dev.jayturn.core.configuration.Configuration;
import dev.jayturn.core.configuration.ConfigurationChecker;
import dev.jayturn.core.configuration.ConfigurationException;
import dev.jayturn.core.configuration.Customer;
import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.consensus.QuorumStatus;
import dev.jayturn.core.consensus.RaftConfig;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.evacuation.EvacuationCallback;
import dev.jayturn.core.evacuation.EvacuationTable;
import dev.jayturn.core.fleet.ConfigurationCallback;
import dev.jayturn.core.fleet.ConfigurationDocument;
import dev.jayturn.core.fleet.ControlInstance;
import dev.jayturn.core.fleet.FleetState;
import dev.jayturn.core.fleet.PutConfiguration;
import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.limits.LinkPeer;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceLease;
import dev.jayturn.core.slice.SliceRetirement;
import dev.jayturn.core.transport.Message;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.head.HeadMemory;
import dev.jayturn.daemon.journal.FileJournal;
import dev.jayturn.daemon.journal.JournalCorruptException;
import dev.jayturn.daemon.journal.StoreIdentity;
import dev.jayturn.daemon.journal.StuckLeaderCheck;
import dev.jayturn.daemon.link.EventLoopTimers;
import dev.jayturn.daemon.link.LinkMeter;
import dev.jayturn.daemon.link.LinkTransport;
import dev.jayturn.daemon.loop.LoopDelayMeter;
import dev.jayturn.daemon.loop.ThreadLocalRandomSource;
import dev.jayturn.daemon.metrics.FleetMetrics;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * Runs a control instance, which replicates the fleet's log with the other control instances,
 * stores it on disk and serves operators and upstreams over HTTP.
 */
public final class ControlProcess implements FleetProcess {
    private static final String LOG_FILE = "fleet.log";

    /**
     * Store id of all control instances that start a new fleet. A member id is the address and the
     * store id, separated by {@code #}; the founders share one store id, so that each of them can
     * name the others from their addresses.
     */
    private static final String FOUNDER_STORE_ID = "founder";

    private static final long ELECTION_TIMEOUT_MILLIS = 500;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 120;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 400;

    private final Settings settings;
    private final EventLoop loop;
    private final ConfigurationCodec codec;
    private final EventLog log;
    private final FleetMetrics metrics = new FleetMetrics();
    private final HeadMemory headMemory;
    private final FleetState fleetState = new FleetState();
    private @Nullable ControlInstance controlInstance;
    private @Nullable RaftNode member;

    /** Receives the outcome of putting a configuration in force. */
    public interface PutCallback {
        /** Called once a quorum has accepted the configuration or one with a higher version. */
        void onAccepted();

        /** Called if the configuration is invalid. */
        void onRejected(ConfigurationException reason);

        /** Called if no quorum confirmed the change in time; it may still come into force. */
        void onUnconfirmed();
    }

    /** Receives the newest configuration. */
    public interface ReadCallback {
        /** Called with the document as the operator sent it; empty if there is none yet. */
        void onDocument(byte[] document);

        /** Called if no quorum confirmed in time which document is the newest. */
        void onUnconfirmed();
    }

    public ControlProcess(
            Settings settings, EventLoop loop, ConfigurationCodec codec, EventLog log) {
        this.settings = settings;
        this.loop = loop;
        this.codec = codec;
        this.log = log;
        this.headMemory = HeadMemoryLog.createMemory(settings, log, metrics);
    }

    /**
     * Starts the control instance; call on the event loop.
     *
     * @throws IOException if the data folder cannot be used
     * @throws JournalCorruptException if a record before the tail of the log is damaged
     */
    public void start(HttpHandler apiHandler) throws IOException, JournalCorruptException {
        EventLoopTimers timers = new EventLoopTimers(loop);
        RandomSource random = new ThreadLocalRandomSource();
        String self = FleetSettings.linkAddress(settings);
        List<String> seeds = FleetSettings.seedAddresses(settings);
        LinkTransport transport =
                new LinkTransport(
                        self,
                        loop,
                        timers,
                        metrics,
                        // Capacity 0 means unknown; the limiter then admits every request.
                        new LinkMeter(new LinkLimiter(timers, 0), LinkPeer.INSTANCE),
                        log,
                        this::onMessage);
        Path folder = Path.of(settings.text(SettingKey.FLEET_DATA_FOLDER));
        boolean startsNewFleet =
                settings.text(SettingKey.FLEET_NEW).equals("true") && seeds.contains(self);
        String storeId =
                startsNewFleet
                        ? StoreIdentity.readOrCreate(folder, List.of(LOG_FILE), FOUNDER_STORE_ID)
                        : StoreIdentity.readOrCreate(folder, List.of(LOG_FILE));
        List<String> founders = new ArrayList<>();
        if (startsNewFleet && storeId.equals(FOUNDER_STORE_ID)) {
            for (String seed : seeds) {
                founders.add(seed + '#' + FOUNDER_STORE_ID);
            }
        }
        FileJournal journal =
                new FileJournal(
                        folder.resolve(LOG_FILE), loop, new JournalLog(log, this::rewriteJournal));
        RaftConfig config =
                new RaftConfig(
                        self + '#' + storeId,
                        seeds,
                        founders,
                        ELECTION_TIMEOUT_MILLIS,
                        HEARTBEAT_INTERVAL_MILLIS,
                        SNAPSHOT_INTERVAL_ENTRIES);
        RaftNode raft =
                new RaftNode(
                        config,
                        journal.takeRecovered(),
                        journal,
                        transport,
                        timers,
                        random,
                        fleetState);
        member = raft;
        controlInstance =
                new ControlInstance(
                        self,
                        random.nextLong(),
                        raft,
                        fleetState,
                        transport,
                        timers,
                        System::currentTimeMillis,
                        this::logRetirement,
                        new QuorumLog(log));
        controlInstance.setConfigurationListener(new ConfigurationLog(log));
        controlInstance.evacuationCalls().setListener(new EvacuationLog(log));
        StuckLeaderCheck.start(timers, raft, journal, this::logResignation);
        transport.listen(
                settings.address(SettingKey.FLEET_LISTEN), FleetSettings.frameBytes(settings));
        HttpApiServer.forDocuments(loop, apiHandler, headMemory)
                .listen(settings.address(SettingKey.FLEET_CONTROL));
        serveMetrics(raft, journal, LoopDelayLog.start(timers, log));
        logStart(self, storeId, raft);
    }

    private void rewriteJournal() {
        RaftNode started = member;
        if (started != null) {
            started.rewriteJournal();
        }
    }

    private void logStart(String self, String storeId, RaftNode raft) {
        log.event(
                "control.started",
                json -> {
                    json.writeStringField("instance", self);
                    json.writeStringField("store", storeId);
                    json.writeNumberField("version", fleetState.configuration().version());
                    json.writeNumberField("term", raft.term());
                    json.writeNumberField("lastIndex", raft.status().lastIndex());
                    json.writeNumberField("voters", voterCount(raft));
                });
    }

    private void serveMetrics(RaftNode raft, FileJournal journal, LoopDelayMeter loopDelay) {
        metrics.registerGauge("jayturn.loop.delay.millis", loopDelay::maxDelayMillis);
        metrics.registerGauge("jayturn.journal.failed.millis", journal::failedMillis);
        metrics.registerGauge("jayturn.journal.pending.millis", journal::pendingMillis);
        metrics.registerGauge("jayturn.journal.last.durable.millis", journal::lastDurableMillis);
        metrics.registerGauge("jayturn.control.leads", () -> raft.isLeader() ? 1 : 0);
        metrics.registerGauge("jayturn.control.term", raft::term);
        metrics.registerGauge("jayturn.control.log.last", () -> raft.status().lastIndex());
        metrics.registerGauge("jayturn.control.log.durable", () -> raft.status().durableIndex());
        metrics.registerGauge("jayturn.control.log.committed", () -> raft.status().commitIndex());
        metrics.registerGauge(
                "jayturn.control.leader.silent.millis",
                () -> raft.isLeader() ? 0 : raft.status().leaderSilentMillis());
        metrics.registerGauge("jayturn.control.votes", () -> raft.status().votes());
        metrics.registerGauge("jayturn.control.members", () -> raft.members().size());
        metrics.registerGauge("jayturn.control.voters", () -> voterCount(raft));
        metrics.registerGauge(
                "jayturn.control.voters.reachable",
                () -> leaderValue(raft, QuorumStatus::reachableVoters));
        metrics.registerGauge(
                "jayturn.control.losses.tolerated",
                () -> leaderValue(raft, QuorumStatus::toleratedLosses));
        metrics.registerGauge(
                "jayturn.configuration.version", () -> fleetState.configuration().version());
        metrics.registerGauge(
                "jayturn.configuration.entries.lowest",
                () -> requireStarted().lowestEntryVersion().orElse(0));
        metrics.registerGauge(
                "jayturn.configuration.entries.behind", () -> requireStarted().entriesBehind());
        metrics.registerGauge(
                "jayturn.evacuation.emptied", () -> fleetState.evacuation().emptied().size());
        metrics.registerGauge(
                "jayturn.evacuation.revision", () -> fleetState.evacuation().revision());
        metrics.registerGauge("jayturn.streams.recorded", this::recordedStreams);
        metrics.registerGauge("jayturn.slice.holders", () -> fleetState.slices().holders().size());
        metrics.registerGauge("jayturn.log.lines.left.out", log::droppedLines);
        new HttpApiServer(
                        loop, HttpHeaderValues.TEXT_PLAIN, new MetricsHandler(metrics), headMemory)
                .listenOptionally(settings.address(SettingKey.METRICS_LISTEN));
    }

    private int recordedStreams() {
        ControlInstance control = controlInstance;
        return control == null ? 0 : control.recordedStreams();
    }

    private static int voterCount(RaftNode raft) {
        int count = 0;
        for (Member member : raft.members()) {
            count += member.voter() ? 1 : 0;
        }
        return count;
    }

    /** Returns a figure that only the leader knows; not a number on other instances. */
    private static double leaderValue(RaftNode raft, ToIntFunction<QuorumStatus> figure) {
        QuorumStatus status = raft.quorumStatus();
        return status == null ? Double.NaN : figure.applyAsInt(status);
    }

    @Override
    public Set<SettingKey> applySettings(Settings changed, Set<SettingKey> keys) {
        if (!keys.contains(SettingKey.FLEET_SEEDS)) {
            return Set.of();
        }
        requireStarted().setSeeds(FleetSettings.seedAddresses(changed));
        return Set.of(SettingKey.FLEET_SEEDS);
    }

    private void onMessage(Message message) {
        ControlInstance started = controlInstance;
        if (started != null) {
            started.handle(message);
        }
    }

    private ControlInstance requireStarted() {
        ControlInstance started = controlInstance;
        if (started == null) {
            throw new IllegalStateException("the control instance has not started");
        }
        return started;
    }

    /** Handles a heartbeat of an upstream. */
    public void onHeartbeat(Heartbeat heartbeat) {
        requireStarted().onHeartbeat(heartbeat);
    }

    /**
     * Handles the departure of an upstream.
     *
     * @param incarnation incarnation that departed; 0 for any
     */
    public void onDeparture(String id, long incarnation) {
        requireStarted().onDeparture(id, incarnation);
        log.event("upstream.departed", json -> json.writeStringField("upstream", id));
    }

    /** Checks a document and puts it in force. */
    public void putConfiguration(byte[] document, PutCallback callback) {
        Configuration configuration;
        try {
            configuration = codec.decodeStrictly(document);
            ConfigurationChecker.check(configuration);
        } catch (ConfigurationException e) {
            log.event(
                    "configuration.refused",
                    json -> {
                        json.writeNumberField("code", e.code().number());
                        json.writeStringField("reason", String.valueOf(e.getMessage()));
                    });
            callback.onRejected(e);
            return;
        }
        long version = configuration.version();
        PutConfiguration command =
                new PutConfiguration(
                        version,
                        DocumentCompression.compress(document),
                        prepaidTokensByCustomer(configuration));
        requireStarted()
                .put(
                        command,
                        new ConfigurationCallback() {
                            @Override
                            public void onConfirmed(ConfigurationDocument current) {
                                logPutOutcome("configuration.accepted", version, current.version());
                                callback.onAccepted();
                            }

                            @Override
                            public void onUnconfirmed() {
                                logPutOutcome("configuration.unsure", version, 0);
                                callback.onUnconfirmed();
                            }
                        });
    }

    private void logRetirement(
            SliceRetirement retirement, @Nullable SliceLease lease, boolean withinLease) {
        log.event(
                "holder.retired",
                json -> {
                    json.writeStringField("holder", retirement.holder());
                    json.writeBooleanField("withinLease", withinLease);
                    if (lease != null) {
                        ClockReading promised = lease.promised();
                        ClockReading started = retirement.started();
                        json.writeBooleanField(
                                "sameBoot", started.bootId().equals(promised.bootId()));
                        json.writeNumberField(
                                "monotonicElapsed",
                                started.monotonicMillis() - promised.monotonicMillis());
                        json.writeNumberField(
                                "wallElapsed", started.wallMillis() - promised.wallMillis());
                        json.writeNumberField(
                                "leaderElapsed",
                                retirement.leaderWallMillis() - lease.leaderWallMillis());
                    }
                });
    }

    private void logResignation(long pendingMillis) {
        log.event(
                "control.leader.resigned", json -> json.writeNumberField("pending", pendingMillis));
    }

    private void logPutOutcome(String event, long version, long currentVersion) {
        log.event(
                event,
                json -> {
                    json.writeNumberField("version", version);
                    json.writeNumberField("held", currentVersion);
                });
    }

    private static Map<String, Long> prepaidTokensByCustomer(Configuration configuration) {
        Map<String, Long> tokensByCustomer = new HashMap<>();
        for (Customer customer : configuration.customers()) {
            customer.prepaidTokens()
                    .ifPresent(tokens -> tokensByCustomer.put(customer.name(), tokens));
        }
        return tokensByCustomer;
    }

    /** Empties a data centre, so that its upstreams get no more requests, or takes it back. */
    public void orderEvacuation(String dataCentre, boolean emptied, EvacuationCallback callback) {
        requireStarted().evacuationCalls().submit(dataCentre, emptied, callback);
    }

    /** Returns the emptied data centres that this instance knows, which may lag. */
    public EvacuationTable evacuation() {
        return fleetState.evacuation();
    }

    /** Reads the newest document that a quorum confirms. */
    public void readConfiguration(ReadCallback callback) {
        requireStarted()
                .read(
                        new ConfigurationCallback() {
                            @Override
                            public void onConfirmed(ConfigurationDocument current) {
                                boolean noDocument = current.version() == 0;
                                callback.onDocument(
                                        noDocument
                                                ? new byte[0]
                                                : DocumentCompression.decompress(
                                                        current.document()));
                            }

                            @Override
                            public void onUnconfirmed() {
                                callback.onUnconfirmed();
                            }
                        });
    }
}
