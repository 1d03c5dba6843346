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
import dev.jayturn.daemon.link.LinkMeter;
import dev.jayturn.daemon.link.LinkTransport;
import dev.jayturn.daemon.link.LoopTimers;
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
    private static final String FOUNDER = "founder";

    private static final long ELECTION_MILLIS = 500;
    private static final long HEARTBEAT_MILLIS = 120;
    private static final int SNAPSHOT_ENTRIES = 400;

    private final Settings settings;
    private final EventLoop loop;
    private final ConfigurationCodec codec;
    private final EventLog log;
    private final FleetMetrics metrics = new FleetMetrics();
    private final FleetState state = new FleetState();
    private @Nullable ControlInstance control;

    /** Told whether a configuration is in force or why it is not. */
    public interface PutReply {
        /** The configuration, or one with a higher version, is in force for good. */
        void accepted();

        /** The configuration is invalid. */
        void refused(ConfigurationException reason);

        /** It may or may not come into force. */
        void unsure();
    }

    /** Told the newest configuration. */
    public interface ReadReply {
        /** The document as the operator sent it; empty if there is none yet. */
        void document(byte[] document);

        /** Nobody can be sure which one is the newest. */
        void unsure();
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
    public void start(HttpCalls calls) throws IOException, JournalCorruptException {
        LoopTimers timers = new LoopTimers(loop);
        RandomSource random = new ThreadLocalRandomSource();
        String self = FleetSettings.linkName(settings);
        List<String> seeds = FleetSettings.seeds(settings);
        LinkTransport transport =
                new LinkTransport(
                        self,
                        loop,
                        timers,
                        metrics,
                        new LinkMeter(new LinkLimiter(timers, 0)),
                        this::onMessage);
        Path folder = Path.of(settings.text(SettingKey.FLEET_DATA));
        Files.createDirectories(folder);
        boolean founds = settings.text(SettingKey.FLEET_NEW).equals("true") && seeds.contains(self);
        String store = founds ? StoreIdentity.of(folder, FOUNDER) : StoreIdentity.of(folder);
        List<String> founders = new ArrayList<>();
        if (founds && store.equals(FOUNDER)) {
            for (String seed : seeds) {
                founders.add(seed + '#' + FOUNDER);
            }
        }
        FileJournal journal = new FileJournal(folder.resolve(LOG_FILE), loop);
        RaftConfig config =
                new RaftConfig(
                        self + '#' + store,
                        seeds,
                        founders,
                        ELECTION_MILLIS,
                        HEARTBEAT_MILLIS,
                        SNAPSHOT_ENTRIES);
        RaftNode raft =
                new RaftNode(
                        config, journal.takeRecovered(), journal, transport, timers, random, state);
        control =
                new ControlInstance(
                        self,
                        random.nextLong(),
                        raft,
                        state,
                        transport,
                        timers,
                        System::currentTimeMillis);
        transport.listen(settings.address(SettingKey.FLEET_LISTEN));
        new CallServer(loop, HttpHeaderValues.APPLICATION_JSON, calls)
                .listen(settings.address(SettingKey.FLEET_CONTROL));
        serveMetrics(raft);
        log.event(
                "control.started",
                json -> {
                    json.writeStringField("instance", self);
                    json.writeStringField("store", store);
                    json.writeNumberField("version", state.configuration().version());
                });
    }

    private void serveMetrics(RaftNode raft) {
        metrics.registerGauge("jayturn.control.leads", () -> raft.isLeader() ? 1 : 0);
        metrics.registerGauge("jayturn.control.members", () -> raft.members().size());
        metrics.registerGauge(
                "jayturn.configuration.version", () -> state.configuration().version());
        metrics.registerGauge("jayturn.slice.holders", () -> state.slices().holders().size());
        metrics.registerGauge("jayturn.log.lines.left.out", log::droppedLines);
        new CallServer(loop, HttpHeaderValues.TEXT_PLAIN, new MetricsCalls(metrics))
                .listenOptionally(settings.address(SettingKey.METRICS_LISTEN));
    }

    @Override
    public Set<SettingKey> obey(Settings changed, Set<SettingKey> keys) {
        if (!keys.contains(SettingKey.FLEET_SEEDS)) {
            return Set.of();
        }
        control().setSeeds(FleetSettings.seeds(changed));
        return Set.of(SettingKey.FLEET_SEEDS);
    }

    private void onMessage(Message message) {
        ControlInstance running = control;
        if (running != null) {
            running.handle(message);
        }
    }

    private ControlInstance control() {
        ControlInstance running = control;
        if (running == null) {
            throw new IllegalStateException("the control instance has not started");
        }
        return running;
    }

    /** Takes an upstream's heartbeat. */
    public void onHeartbeat(Heartbeat heartbeat) {
        control().onHeartbeat(heartbeat);
    }

    /** Takes the departure of one life of an upstream; 0 for whichever it is. */
    public void onDeparture(String id, long incarnation) {
        control().onDeparture(id, incarnation);
        log.event("upstream.departed", json -> json.writeStringField("upstream", id));
    }

    /** Puts a document in force. */
    public void put(byte[] document, PutReply reply) {
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
            reply.refused(e);
            return;
        }
        long version = configuration.version();
        PutConfiguration put =
                new PutConfiguration(version, Documents.pack(document), prepaid(configuration));
        control()
                .put(
                        put,
                        new ConfigurationCallback() {
                            @Override
                            public void onConfirmed(ConfigurationDocument held) {
                                logPut("configuration.accepted", version, held.version());
                                reply.accepted();
                            }

                            @Override
                            public void onUnconfirmed() {
                                logPut("configuration.unsure", version, 0);
                                reply.unsure();
                            }
                        });
    }

    private void logPut(String event, long version, long held) {
        log.event(
                event,
                json -> {
                    json.writeNumberField("version", version);
                    json.writeNumberField("held", held);
                });
    }

    private static Map<String, Long> prepaid(Configuration configuration) {
        Map<String, Long> prepaid = new HashMap<>();
        for (Customer customer : configuration.customers()) {
            customer.prepaidTokens().ifPresent(tokens -> prepaid.put(customer.name(), tokens));
        }
        return prepaid;
    }

    /** Reads the newest document. */
    public void read(ReadReply reply) {
        control()
                .read(
                        new ConfigurationCallback() {
                            @Override
                            public void onConfirmed(ConfigurationDocument held) {
                                boolean none = held.version() == 0;
                                reply.document(
                                        none ? new byte[0] : Documents.unpack(held.document()));
                            }

                            @Override
                            public void onUnconfirmed() {
                                reply.unsure();
                            }
                        });
    }
}
