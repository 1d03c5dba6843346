package dev.jayturn.daemon.fleet;

import dev.jayturn.core.configuration.Configuration;
import dev.jayturn.core.configuration.ConfigurationChecker;
import dev.jayturn.core.configuration.ConfigurationException;
import dev.jayturn.core.configuration.Customer;
import dev.jayturn.core.consensus.RaftConfig;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.fleet.ConfigurationCallback;
import dev.jayturn.core.fleet.ConfigurationDocument;
import dev.jayturn.core.fleet.ControlInstance;
import dev.jayturn.core.fleet.FleetState;
import dev.jayturn.core.fleet.PutConfiguration;
import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.transport.Message;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.journal.FileJournal;
import dev.jayturn.daemon.journal.JournalCorruptException;
import dev.jayturn.daemon.journal.StoreIdentity;
import dev.jayturn.daemon.link.EventLoopTimers;
import dev.jayturn.daemon.link.LinkMeter;
import dev.jayturn.daemon.link.LinkTransport;
import dev.jayturn.daemon.loop.ThreadLocalRandomSource;
import dev.jayturn.daemon.metrics.FleetMetrics;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A control instance: agrees with the others, keeps its log on disk and serves operators. */
public final class ControlProcess implements FleetProcess {
    private static final String LOG_FILE = "fleet.log";

    /** Identity of the stores of those that start a new fleet, the same for all. */
    private static final String FOUNDER_STORE_ID = "founder";

    private static final long ELECTION_TIMEOUT_MILLIS = 500;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 120;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 400;

    private final Settings settings;
    private final EventLoop loop;
    private final ConfigurationCodec codec;
    private final EventLog log;
    private final FleetMetrics metrics = new FleetMetrics();
    private final FleetState fleetState = new FleetState();
    private @Nullable ControlInstance controlInstance;

    /** Told whether a configuration is in force or why it is not. */
    public interface PutCallback {
        /** The configuration, or one with a higher version, is in force for good. */
        void onAccepted();

        /** The configuration is invalid. */
        void onRejected(ConfigurationException reason);

        /** It may or may not come into force. */
        void onUnconfirmed();
    }

    /** Told the newest configuration. */
    public interface ReadCallback {
        /** The document as the operator sent it; empty if there is none yet. */
        void onDocument(byte[] document);

        /** Nobody can be sure which one is the newest. */
        void onUnconfirmed();
    }

    public ControlProcess(
            Settings settings, EventLoop loop, ConfigurationCodec codec, EventLog log) {
        this.settings = settings;
        this.loop = loop;
        this.codec = codec;
        this.log = log;
    }

    /**
     * Starts; call on the event loop.
     *
     * @throws IOException if the data folder or an address cannot be used
     * @throws JournalCorruptException if the log is damaged before its tail
     */
    public void start(HttpHandler calls) throws IOException, JournalCorruptException {
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
                        new LinkMeter(new LinkLimiter(timers, 0)),
                        this::onMessage);
        Path folder = Path.of(settings.text(SettingKey.FLEET_DATA_FOLDER));
        Files.createDirectories(folder);
        boolean founds = settings.text(SettingKey.FLEET_NEW).equals("true") && seeds.contains(self);
        String store =
                founds
                        ? StoreIdentity.readOrCreate(folder, FOUNDER_STORE_ID)
                        : StoreIdentity.readOrCreate(folder);
        List<String> founders = new ArrayList<>();
        if (founds && store.equals(FOUNDER_STORE_ID)) {
            for (String seed : seeds) {
                founders.add(seed + '#' + FOUNDER_STORE_ID);
            }
        }
        FileJournal journal = new FileJournal(folder.resolve(LOG_FILE), loop);
        RaftConfig config =
                new RaftConfig(
                        self + '#' + store,
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
        controlInstance =
                new ControlInstance(
                        self,
                        random.nextLong(),
                        raft,
                        fleetState,
                        transport,
                        timers,
                        System::currentTimeMillis);
        transport.listen(settings.address(SettingKey.FLEET_LISTEN));
        new HttpApiServer(loop, HttpHeaderValues.APPLICATION_JSON, calls)
                .listen(settings.address(SettingKey.FLEET_CONTROL));
        serveMetrics(raft);
        log.event(
                "control.started",
                json -> {
                    json.writeStringField("instance", self);
                    json.writeStringField("store", store);
                    json.writeNumberField("version", fleetState.configuration().version());
                });
    }

    private void serveMetrics(RaftNode raft) {
        metrics.registerGauge("jayturn.control.leads", () -> raft.isLeader() ? 1 : 0);
        metrics.registerGauge("jayturn.control.members", () -> raft.members().size());
        metrics.registerGauge(
                "jayturn.configuration.version", () -> fleetState.configuration().version());
        metrics.registerGauge("jayturn.slice.holders", () -> fleetState.slices().holders().size());
        metrics.registerGauge("jayturn.log.lines.left.out", log::droppedLines);
        new HttpApiServer(loop, HttpHeaderValues.TEXT_PLAIN, new MetricsHandler(metrics))
                .listenOptionally(settings.address(SettingKey.METRICS_LISTEN));
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
        ControlInstance running = controlInstance;
        if (running != null) {
            running.handle(message);
        }
    }

    private ControlInstance requireStarted() {
        ControlInstance running = controlInstance;
        if (running == null) {
            throw new IllegalStateException("the control instance has not started");
        }
        return running;
    }

    /** Takes an upstream's heartbeat. */
    public void onHeartbeat(Heartbeat heartbeat) {
        requireStarted().onHeartbeat(heartbeat);
    }

    /** Takes the departure of one life of an upstream; 0 for whichever it is. */
    public void onDeparture(String id, long incarnation) {
        requireStarted().onDeparture(id, incarnation);
        log.event("upstream.departed", json -> json.writeStringField("upstream", id));
    }

    /** Puts a document in force. */
    public void putConfiguration(byte[] document, PutCallback reply) {
        Configuration configuration;
        try {
            configuration = codec.decode(document);
            ConfigurationChecker.check(configuration);
        } catch (ConfigurationException e) {
            log.event(
                    "configuration.refused",
                    json -> {
                        json.writeNumberField("code", e.code().number());
                        json.writeStringField("reason", String.valueOf(e.getMessage()));
                    });
            reply.onRejected(e);
            return;
        }
        long version = configuration.version();
        PutConfiguration put =
                new PutConfiguration(
                        version,
                        DocumentCompression.compress(document),
                        prepaidTokensByCustomer(configuration));
        requireStarted()
                .put(
                        put,
                        new ConfigurationCallback() {
                            @Override
                            public void onConfirmed(ConfigurationDocument held) {
                                logPutOutcome("configuration.accepted", version, held.version());
                                reply.onAccepted();
                            }

                            @Override
                            public void onUnconfirmed() {
                                logPutOutcome("configuration.unsure", version, 0);
                                reply.onUnconfirmed();
                            }
                        });
    }

    private void logPutOutcome(String event, long version, long held) {
        log.event(
                event,
                json -> {
                    json.writeNumberField("version", version);
                    json.writeNumberField("held", held);
                });
    }

    private static Map<String, Long> prepaidTokensByCustomer(Configuration configuration) {
        Map<String, Long> prepaid = new HashMap<>();
        for (Customer customer : configuration.customers()) {
            customer.prepaidTokens().ifPresent(tokens -> prepaid.put(customer.name(), tokens));
        }
        return prepaid;
    }

    /** Reads the newest document. */
    public void readConfiguration(ReadCallback reply) {
        requireStarted()
                .read(
                        new ConfigurationCallback() {
                            @Override
                            public void onConfirmed(ConfigurationDocument held) {
                                boolean none = held.version() == 0;
                                reply.onDocument(
                                        none
                                                ? new byte[0]
                                                : DocumentCompression.decompress(held.document()));
                            }

                            @Override
                            public void onUnconfirmed() {
                                reply.onUnconfirmed();
                            }
                        });
    }
}
