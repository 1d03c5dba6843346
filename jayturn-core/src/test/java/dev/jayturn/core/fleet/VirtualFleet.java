package dev.jayturn.core.fleet;

import dev.jayturn.core.configuration.ConfigurationException;
import dev.jayturn.core.consensus.Member;
import dev.jayturn.core.consensus.RaftConfig;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.ExpectedTimePlacement;
import dev.jayturn.core.dispatch.Location;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import dev.jayturn.core.quarantine.EvidenceShare;
import dev.jayturn.core.quarantine.EvidenceSharing;
import dev.jayturn.core.quarantine.EvidenceTable;
import dev.jayturn.core.quarantine.Quarantine;
import dev.jayturn.core.quarantine.QuarantineListener;
import dev.jayturn.core.ratelimit.ColdUpstreams;
import dev.jayturn.core.ratelimit.UpstreamRateLimiter;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.StaleOriginGuard;
import dev.jayturn.core.resumption.StreamOrigins;
import dev.jayturn.core.retry.InstanceCounts;
import dev.jayturn.core.retry.SharedRetryBudget;
import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceAccounts;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualDisk;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/** Control and entry instances of a fleet in virtual time, with callers that spend budgets. */
final class VirtualFleet {
    private static final long CALL_DURATION_MILLIS = 400;

    /** Time that a call waits for tokens before it is refused, as a caller's request does. */
    private static final long TOKEN_WAIT_MILLIS = 500;

    static final long RETRY_WINDOW_MILLIS = 10_000;
    static final double RETRY_RATIO = 0.2;
    static final int RETRY_SLACK = 200;

    private static final int ENTRIES_PER_DATA_CENTRE = 2;
    private static final String ENTRY = "entry-";
    private static final String FOUNDER_STORE = "founder";

    private static final QuorumListener NO_QUORUM_LISTENER =
            new QuorumListener() {
                @Override
                public void onLeader(String leader, long term) {
                    // The tests ask the members themselves.
                }

                @Override
                public void onMembers(List<Member> members) {
                    // The tests ask the members themselves.
                }
            };

    private static final QuarantineListener NO_QUARANTINE_LISTENER =
            new QuarantineListener() {
                @Override
                public void onQuarantined(String part, int ends) {
                    // The tests ask the quarantine itself.
                }

                @Override
                public void onReleased(String part) {
                    // The tests ask the quarantine itself.
                }
            };

    final VirtualTime time = new VirtualTime();
    final Random random;
    final VirtualNetwork network;
    final Map<String, VirtualControl> controls = new LinkedHashMap<>();
    final Map<String, VirtualEntry> entries = new LinkedHashMap<>();
    final Map<String, Long> spentByCustomer = new HashMap<>();
    final Map<String, Long> refusedCallsByCustomer = new HashMap<>();
    double coldRequestsPerSecond;
    private final int entriesPerDataCentre;
    private int storeCount;
    private final List<String> controlNames = new ArrayList<>();

    VirtualFleet(long seed, int controlCount, int entryCount) {
        this(seed, controlCount, entryCount, ENTRIES_PER_DATA_CENTRE);
    }

    VirtualFleet(long seed, int controlCount, int entryCount, int perDataCentre) {
        entriesPerDataCentre = perDataCentre;
        random = new Random(seed);
        network = new VirtualNetwork(time, random);
        for (int i = 0; i < controlCount; i++) {
            controlNames.add("control-" + i);
        }
        for (String name : controlNames) {
            network.setDataCentre(name, "core");
            controls.put(name, new VirtualControl(name, FOUNDER_STORE, true));
        }
        for (int i = 0; i < entryCount; i++) {
            network.setDataCentre(ENTRY + i, dataCentre(i));
            entries.put(ENTRY + i, new VirtualEntry(ENTRY + i, "boot-0"));
        }
    }

    /** Puts a configuration in force through a random control instance. */
    void put(long version, Map<String, Long> prepaid, ConfigurationCallback callback) {
        VirtualControl control =
                controls.get(controlNames.get(random.nextInt(controlNames.size())));
        control.process.run(
                () ->
                        control.instance.put(
                                new PutConfiguration(version, new byte[] {(byte) version}, prepaid),
                                callback));
    }

    /** Starts a control instance with an empty disk at a new address, which becomes a seed. */
    VirtualControl addControl(String name) {
        network.setDataCentre(name, "core");
        controlNames.add(name);
        VirtualControl added = new VirtualControl(name, newStoreId(), false);
        controls.put(name, added);
        return added;
    }

    /** Ends a control instance for good; its address is no longer a seed. */
    void removeControl(String name) {
        controls.remove(name).process.crash();
        controlNames.remove(name);
    }

    private String newStoreId() {
        return "store-" + ++storeCount;
    }

    private String dataCentre(int entry) {
        return "data-centre-" + entry / entriesPerDataCentre;
    }

    long spentBy(String customer) {
        return spentByCustomer.getOrDefault(customer, 0L);
    }

    /** A control instance that can be restarted, with its disk or without it. */
    final class VirtualControl {
        final String name;
        VirtualDisk disk;
        String storeId;
        VirtualProcess process;
        FleetState state;
        ControlInstance instance;
        RaftNode raft;
        private int starts;

        VirtualControl(String name, String storeId, boolean isFounder) {
            this.name = name;
            this.storeId = storeId;
            this.disk = new VirtualDisk(time);
            start(isFounder);
        }

        void restart() {
            process.crash();
            start(false);
        }

        /** Replaces the disk of a crashed instance by an empty one; it takes a restart. */
        void loseDisk() {
            process.crash();
            disk = new VirtualDisk(time);
            storeId = newStoreId();
        }

        private void start(boolean isFounder) {
            process = new VirtualProcess(name, time, network);
            SeededRandom source = new SeededRandom(new Random(random.nextLong()));
            state = new FleetState();
            List<String> founders = new ArrayList<>();
            for (String other : controlNames) {
                founders.add(other + "#" + FOUNDER_STORE);
            }
            RaftConfig config =
                    new RaftConfig(
                            name + "#" + storeId,
                            List.copyOf(controlNames),
                            isFounder ? founders : List.of(),
                            500,
                            100,
                            200);
            starts++;
            raft =
                    new RaftNode(
                            config,
                            disk.records(),
                            disk.openJournal(process),
                            process,
                            process,
                            source,
                            state);
            instance =
                    new ControlInstance(
                            name,
                            starts,
                            raft,
                            state,
                            process,
                            process,
                            time::nowMillis,
                            (retirement, lease, withinLease) -> {},
                            NO_QUORUM_LISTENER);
            ControlInstance receiver = instance;
            process.onMessage((to, message) -> receiver.handle(message));
        }
    }

    /** One process of an entry instance and its callers. */
    final class VirtualEntry implements FleetListener {
        final String name;
        final VirtualProcess process;
        final EntryInstance instance;
        final Quarantine quarantine;
        final UpstreamRateLimiter limiter;
        final ColdUpstreams permits;
        final StreamOrigins origins;
        final StaleOriginGuard originGuard;
        final UpstreamRegistry upstreams = new UpstreamRegistry(service -> 1_000);
        final Dispatcher dispatcher;
        final SharedRetryBudget retryBudget;
        final InstanceCounts instanceCounts;
        long configurationVersion;
        int documentsReceived;
        Predicate<ConfigurationDocument> unappliedDocuments = document -> false;
        final List<Heartbeat> upstreamHeartbeats = new ArrayList<>();
        private final List<Call> waiting = new ArrayList<>();

        private record Call(String customer, long reservedTokens, long spentTokens) {}

        VirtualEntry(String name, String bootId) {
            this(name, new ClockReading(bootId, time.nowMillis(), time.nowMillis()));
        }

        VirtualEntry(String name, ClockReading startedAt) {
            this.name = name;
            String dataCentre = dataCentre(Integer.parseInt(name.substring(ENTRY.length())));
            process = new VirtualProcess(name, time, network);
            SeededRandom source = new SeededRandom(new Random(random.nextLong()));
            instance =
                    new EntryInstance(
                            name,
                            dataCentre,
                            controlNames,
                            process,
                            process,
                            source,
                            time::nowMillis,
                            startedAt,
                            this);
            EvidenceTable evidence = new EvidenceTable();
            instanceCounts = new InstanceCounts(process, RETRY_WINDOW_MILLIS);
            instance.setEntryCountListener(instanceCounts::record);
            retryBudget =
                    new SharedRetryBudget(process, RETRY_WINDOW_MILLIS, RETRY_RATIO, RETRY_SLACK);
            quarantine = new Quarantine(process, evidence, NO_QUARANTINE_LISTENER);
            EvidenceSharing sharing =
                    new EvidenceSharing(
                            name, evidence, process, process, instance::controlAddresses);
            quarantine.setSharing(sharing::onChanged);
            limiter =
                    new UpstreamRateLimiter(
                            name,
                            process,
                            process,
                            instance::controlAddresses,
                            (upstream, rate, ageMillis) -> {},
                            () -> {});
            permits =
                    new ColdUpstreams(
                            limiter,
                            process,
                            service -> coldRequestsPerSecond,
                            instance::isDirectoryCurrent,
                            instance::entryCount,
                            source,
                            (upstream, remainingMillis) -> {});
            origins = new StreamOrigins(name, process, process, instance::controlAddresses);
            dispatcher =
                    new Dispatcher(
                            upstreams,
                            new ExpectedTimePlacement(new Location(dataCentre, Map.of()), source),
                            source);
            originGuard = new StaleOriginGuard(origins, upstreams::versionChanges);
            dispatcher.setDirectoryCheck(instance::isDirectoryCurrent);
            dispatcher.addFilter(instance.evacuation());
            dispatcher.setRateLimits(permits);
            process.onMessage((to, message) -> receive(message));
        }

        @Override
        public void onDirectoryOutdated() {
            originGuard.onDirectoryOutdated();
        }

        @Override
        public void onDirectoryCurrent(long sinceMillis) {
            originGuard.onDirectoryCurrent(sinceMillis);
        }

        private void receive(Message message) {
            if (message instanceof EvidenceShare share) {
                quarantine.onShare(share);
            } else if (!limiter.handle(message) && !origins.handle(message)) {
                instance.handle(message);
            }
        }

        /** Takes a retry from the budget that this instance shares with the others. */
        boolean tryRetry() {
            return retryBudget.tryAcquire(instanceCounts.divisor());
        }

        /** Makes a call that reserves tokens and spends all of them. */
        void call(String customer, long tokens) {
            call(customer, tokens, tokens);
        }

        /** Makes a call that spends no more tokens than it reserves. */
        void call(String customer, long reservedTokens, long spentTokens) {
            Call call = new Call(customer, reservedTokens, spentTokens);
            process.run(
                    () -> {
                        if (!tryToSpend(call)) {
                            instance.requestTokens(customer, reservedTokens);
                            waiting.add(call);
                            process.schedule(TOKEN_WAIT_MILLIS, () -> refuse(call));
                        }
                    });
        }

        private boolean tryToSpend(Call call) {
            SliceAccounts slices = instance.slices();
            if (!slices.canReserve(call.customer(), call.reservedTokens())) {
                return false;
            }
            SliceAccounts.Reservation reservation =
                    slices.reserve(call.customer(), call.reservedTokens());
            // Counted now: the upstream consumes the tokens even if this instance crashes.
            spentByCustomer.merge(call.customer(), call.spentTokens(), Long::sum);
            process.schedule(
                    CALL_DURATION_MILLIS, () -> slices.settle(reservation, call.spentTokens()));
            return true;
        }

        private void refuse(Call call) {
            if (waiting.remove(call)) {
                instance.slices().recordUnmetDemand(call.customer(), call.reservedTokens());
                refusedCallsByCustomer.merge(call.customer(), 1L, Long::sum);
            }
        }

        @Override
        public void onConfiguration(ConfigurationDocument document) throws ConfigurationException {
            documentsReceived++;
            if (unappliedDocuments.test(document)) {
                throw new ConfigurationException(ResultCode.CONFIGURATION_UNREADABLE, "test");
            }
            configurationVersion = document.version();
        }

        @Override
        public void onUpstream(Heartbeat heartbeat) {
            upstreamHeartbeats.add(heartbeat);
            permits.onHeartbeat(heartbeat);
            upstreams.accept(heartbeat);
        }

        @Override
        public void onPeers(List<Peer> peers) {
            limiter.setInstances(peers.stream().map(Peer::address).toList());
        }

        @Override
        public void onSlices() {
            waiting.removeIf(this::tryToSpend);
        }
    }
}
