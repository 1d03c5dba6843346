package dev.jayturn.core.loadview;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import dev.jayturn.core.dispatch.ExpectedTimePlacement;
import dev.jayturn.core.dispatch.LoadShare;
import dev.jayturn.core.dispatch.Location;
import dev.jayturn.core.dispatch.PeerLoads;
import dev.jayturn.core.dispatch.PlacementPolicy;
import dev.jayturn.core.dispatch.PromptPart;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Entry instances in virtual time that place streams of three kinds at model engines. */
final class UnseenLoadFleet {
    static final int ENGINES = 42;
    private static final int SLOTS = 64;
    private static final int SUMS_FROM = 18;
    private static final long CACHE_TOKENS = 357_931;
    private static final int CUSTOMERS = 24;
    private static final double HOT_SHARE = 0.5;
    private static final int STEP_MILLIS = 4;
    private static final int LOCAL_JITTER_MILLIS = 1;
    private static final int REGION_DELAY_MILLIS = 30;
    private static final Map<String, String> REGIONS = Map.of("west", "west", "east", "east");

    private static final List<Kind> KINDS =
            List.of(
                    new Kind("long", 5_382, 6_610, 42, 36.8, 1_019),
                    new Kind("short", 198, 628, 32, 113, 1_508),
                    new Kind("middle", 568, 1_800, 3, 56.2, 2_010));

    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network;
    private final Random random;
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<Heartbeat> heartbeats = new ArrayList<>();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Long> firstEventMillis = new ArrayList<>();
    private final double scale;
    private int waiting;
    private int late;
    private int requests;
    private boolean measuring;
    private boolean arriving = true;

    /** A kind of stream: its prompt, its output and how many come in a second. */
    private record Kind(
            String name,
            long sharedTokens,
            long ownTokens,
            int events,
            double perSecond,
            long objectiveMillis) {}

    /** What callers saw. */
    record Result(long p99Millis, double lateShare, double busiestToMean) {}

    /** An entry instance. */
    private final class Entry {
        final VirtualProcess process;
        final String region;
        final UpstreamRegistry registry = new UpstreamRegistry(service -> CACHE_TOKENS);
        final ExpectedTimePlacement placement;
        final PeerLoads peerLoads;
        final FleetLoads fleetLoads;

        Entry(String name, String region) {
            this.region = region;
            network.setDataCentre(name, region);
            process = new VirtualProcess(name, time, network);
            placement =
                    new ExpectedTimePlacement(
                            new Location(region, REGIONS), new SeededRandom(random));
            heartbeats.forEach(registry::accept);
            peerLoads = new PeerLoads(name, registry, process, process);
            fleetLoads = new FleetLoads(name, registry, process, process, SUMS_FROM);
            placement.setLoadView(fleetLoads);
            process.onMessage(
                    (to, message) -> {
                        if (message instanceof LoadShare share) {
                            peerLoads.onShare(share);
                        } else {
                            fleetLoads.handle(message);
                        }
                    });
        }

        void setPeers(List<String> names) {
            peerLoads.setPeers(names);
            fleetLoads.setPeers(names);
        }

        void place(Kind kind, RequestProfile profile) {
            long sentMillis = time.nowMillis();
            PlacementPolicy.Choice choice =
                    placement.choose(profile, registry.ofService("models"), sentMillis);
            if (choice == null) {
                throw new IllegalStateException("no engine for " + profile);
            }
            UpstreamLoad upstream = choice.upstream();
            boolean alone = upstream.totalWaitingTokens() == 0;
            long uncached = upstream.requestStarted(profile);
            onChange();
            ModelEngine engine =
                    engines.get(Integer.parseInt(upstream.heartbeat().id().substring(1)));
            double wayMillis =
                    upstream.heartbeat().dataCentre().equals(region) ? 1 : REGION_DELAY_MILLIS;
            long readMillis = (long) (engine.read(profile, sentMillis) - sentMillis);
            long elapsedMillis = (long) (readMillis + 2 * wayMillis);
            boolean counted = measuring;
            waiting++;
            time.schedule(
                    elapsedMillis,
                    () -> {
                        waiting--;
                        upstream.firstEventReceived(uncached, elapsedMillis, alone);
                        onChange();
                        if (counted) {
                            firstEventMillis.add(elapsedMillis);
                            late += elapsedMillis > kind.objectiveMillis() ? 1 : 0;
                        }
                    });
            time.schedule(
                    elapsedMillis + (long) kind.events() * STEP_MILLIS,
                    () -> {
                        upstream.requestEnded();
                        upstream.requestSucceeded(elapsedMillis);
                        onChange();
                    });
        }

        private void onChange() {
            if (process.isRunning()) {
                peerLoads.scheduleSend();
                fleetLoads.onWorkChanged();
            }
        }
    }

    UnseenLoadFleet(int count, double use, double lossRate, long seed) {
        random = new Random(seed);
        network = new VirtualNetwork(time, new Random(seed + 1));
        network.setFaults(lossRate, 0, LOCAL_JITTER_MILLIS);
        network.delayMillis(REGION_DELAY_MILLIS);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new ModelEngine());
            heartbeats.add(
                    new Heartbeat(
                            "m" + i,
                            "models",
                            "10.0.0." + i + ":80",
                            i % 2 == 0 ? "west" : "east",
                            SLOTS,
                            UpstreamState.READY,
                            1,
                            1,
                            "v1"));
        }
        double tokensPerSecond = 0;
        for (Kind kind : KINDS) {
            tokensPerSecond += kind.perSecond() * kind.ownTokens();
        }
        scale = use * ENGINES * ModelEngine.PROMPT_TOKENS_PER_MILLI * 1_000 / tokensPerSecond;
        for (int i = 0; i < count; i++) {
            start(name(i));
        }
        tellPeers();
        for (Kind kind : KINDS) {
            scheduleArrival(kind, new Random(seed + kind.name().hashCode()));
        }
    }

    static String name(int number) {
        return (number % 2 == 0 ? "west" : "east") + number;
    }

    /** Starts an instance, or starts it again without what it knew. */
    void start(String name) {
        entries.put(name, new Entry(name, name.substring(0, 4)));
    }

    /** Ends an instance; callers go to the others at once. */
    void kill(String name) {
        Entry entry = entries.remove(name);
        if (entry != null) {
            entry.process.crash();
        }
    }

    /** Gives each instance the list of those that run. */
    void tellPeers() {
        List<String> names = List.copyOf(entries.keySet());
        entries.values().forEach(entry -> entry.setPeers(names));
    }

    /** Makes each instance place streams as if it were the only one. */
    void forgetPeers() {
        entries.values().forEach(entry -> entry.setPeers(List.of()));
    }

    VirtualNetwork network() {
        return network;
    }

    VirtualTime time() {
        return time;
    }

    void measure() {
        measuring = true;
    }

    private void scheduleArrival(Kind kind, Random arrivals) {
        double meanMillis = 1_000 / (kind.perSecond() * scale);
        long delay = Math.round(-Math.log(1 - arrivals.nextDouble()) * meanMillis);
        time.schedule(
                delay,
                () -> {
                    if (!arriving) {
                        return;
                    }
                    scheduleArrival(kind, arrivals);
                    boolean hot = arrivals.nextDouble() < HOT_SHARE;
                    int customer = hot ? 0 : 1 + arrivals.nextInt(CUSTOMERS - 1);
                    RequestProfile profile =
                            new RequestProfile(
                                    kind.sharedTokens() + kind.ownTokens(),
                                    300,
                                    List.of(
                                            new PromptPart(
                                                    kind.name() + customer, kind.sharedTokens()),
                                            new PromptPart("own" + requests++, kind.ownTokens())));
                    List<Entry> running = List.copyOf(entries.values());
                    running.get(arrivals.nextInt(running.size())).place(kind, profile);
                });
    }

    /** Ends the arrivals, waits for the first events, and returns what callers saw. */
    Result result() {
        arriving = false;
        while (waiting > 0) {
            time.runFor(100);
        }
        firstEventMillis.sort(null);
        int size = firstEventMillis.size();
        double busiest = engines.stream().mapToDouble(ModelEngine::busyMillis).max().orElse(0);
        double mean = engines.stream().mapToDouble(ModelEngine::busyMillis).average().orElse(1);
        return new Result(
                firstEventMillis.get((int) (0.99 * (size - 1))),
                (double) late / size,
                busiest / mean);
    }
}
