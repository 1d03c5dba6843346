package dev.jayturn.lab.routing;

import dev.jayturn.core.membership.Announce;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.retry.CircuitBreakers;
import dev.jayturn.core.routing.RouteChoice;
import dev.jayturn.core.routing.RouteQuery;
import dev.jayturn.core.routing.Router;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import dev.jayturn.lab.engine.EngineProfile;
import dev.jayturn.lab.engine.Sequence;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Sends the same calls through one routing policy, from several instances to several engines. */
public final class RoutingExperiment {
    private static final int ENGINE_COUNT = 8;
    private static final int INSTANCE_COUNT = 6;
    private static final int PREFIX_COUNT = 120;
    private static final int PREFIX_CHARS = 2_048;
    private static final int SUFFIX_CHARS = 200;
    private static final int MAX_TOKENS = 64;
    private static final long DURATION_SECONDS = 120;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final long REPORT_LAG_MILLIS = 1_000;
    private static final long FIRST_TOKEN_OBJECTIVE_MILLIS = 2_000;
    private static final EngineProfile ENGINE_PROFILE = new EngineProfile(32, 8_000, 250, 60, 600);

    private final String policy;
    private final double callsPerSecond;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<VirtualEngine> engines = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final List<MembersView> views = new ArrayList<>();
    private final Histogram firstTokenMillis = new Histogram(3);
    private final Histogram interTokenMillis = new Histogram(3);
    private long callCount;
    private long callsWithinObjective;

    /** Creates a run of one policy at a rate of calls a second. */
    public RoutingExperiment(String policy, double perSecond, long seed) {
        this.policy = policy;
        this.callsPerSecond = perSecond;
        this.random = new Random(seed);
        VirtualNetwork network = new VirtualNetwork(time, random);
        for (int i = 0; i < ENGINE_COUNT; i++) {
            engines.add(new VirtualEngine("engine" + i, time, ENGINE_PROFILE));
        }
        for (int i = 0; i < INSTANCE_COUNT; i++) {
            VirtualProcess process = new VirtualProcess("entry" + i, time, network);
            MembersView view = new MembersView(process, REPORT_INTERVAL_MILLIS * 10);
            views.add(view);
            routers.add(new Router(view, new CircuitBreakers(process), new SeededRandom(random)));
        }
    }

    /** What a run yielded; times in milliseconds. */
    public record Result(
            String policy,
            double callsPerSecond,
            double firstTokenP50,
            double firstTokenP95,
            double firstTokenP99,
            double interTokenP95,
            double cacheHitRate,
            double callsWithinObjectivePerSecond) {}

    /** Runs for two virtual minutes and some more for the last answers. */
    public Result run() {
        reportLoads();
        time.runFor(REPORT_LAG_MILLIS);
        long next = 0;
        while (next < DURATION_SECONDS * 1_000) {
            time.schedule(next, this::sendCall);
            next += (long) (-Math.log(1 - random.nextDouble()) * 1_000 / callsPerSecond);
        }
        time.runFor(DURATION_SECONDS * 1_000 + 30_000);
        double hits = 0;
        for (VirtualEngine engine : engines) {
            hits += engine.cacheHitRate() / ENGINE_COUNT;
        }
        return new Result(
                policy,
                callsPerSecond,
                firstTokenMillis.getValueAtPercentile(50),
                firstTokenMillis.getValueAtPercentile(95),
                firstTokenMillis.getValueAtPercentile(99),
                interTokenMillis.getValueAtPercentile(95),
                hits,
                (double) callsWithinObjective / DURATION_SECONDS);
    }

    private void reportLoads() {
        for (VirtualEngine engine : engines) {
            Announce announce = engine.createAnnouncement();
            time.schedule(
                    REPORT_LAG_MILLIS,
                    () -> views.forEach(view -> view.applyAnnouncement(announce)));
        }
        time.schedule(REPORT_INTERVAL_MILLIS, this::reportLoads);
    }

    /** A few prefixes are asked for far more often than the rest. */
    private void sendCall() {
        double skew = random.nextDouble() * random.nextDouble();
        int prefix = (int) (skew * PREFIX_COUNT);
        Router router = routers.get(random.nextInt(INSTANCE_COUNT));
        String id = "c" + ++callCount;
        RouteChoice choice =
                router.route(new RouteQuery(id, "llm", "m", policy, prefix, Set.of())).get();
        String engineId = choice.upstream().id();
        router.requestStarted(engineId);
        VirtualEngine engine = engines.get(Integer.parseInt(engineId.substring(6)));
        engine.start(
                id, createPrompt(prefix, id), MAX_TOKENS, new LatencyRecorder(router, engineId));
    }

    private static String createPrompt(int prefix, String id) {
        StringBuilder text = new StringBuilder();
        while (text.length() < PREFIX_CHARS) {
            text.append("season ").append(prefix).append(" slip; ");
        }
        text.setLength(PREFIX_CHARS);
        while (text.length() < PREFIX_CHARS + SUFFIX_CHARS) {
            text.append(id).append(' ');
        }
        return text.toString();
    }

    private final class LatencyRecorder implements Sequence.Listener {
        private final Router router;
        private final String engineId;
        private final long startMillis = time.nowMillis();
        private long lastTokenMillis;

        LatencyRecorder(Router router, String engineId) {
            this.router = router;
            this.engineId = engineId;
        }

        @Override
        public void onToken(Sequence sequence, int index, boolean last) {
            long now = time.nowMillis();
            if (index == 0) {
                firstTokenMillis.recordValue(now - startMillis);
                callsWithinObjective += now - startMillis <= FIRST_TOKEN_OBJECTIVE_MILLIS ? 1 : 0;
            } else {
                interTokenMillis.recordValue(now - lastTokenMillis);
            }
            lastTokenMillis = now;
            if (last) {
                router.requestFinished(engineId);
            }
        }
    }

    /** Prints the policies at several rates. */
    public static void print(PrintStream out, double[] rates, long seed) {
        out.printf(
                "%-9s %8s %9s %9s %9s %11s %6s %8s%n",
                "policy",
                "calls/s",
                "first p50",
                "first p95",
                "first p99",
                "between p95",
                "hits",
                "good/s");
        for (double rate : rates) {
            for (String policy : List.of("affinity", "least", "robin")) {
                Result result = new RoutingExperiment(policy, rate, seed).run();
                out.printf(
                        "%-9s %8.0f %9.0f %9.0f %9.0f %11.0f %5.0f%% %8.1f%n",
                        policy,
                        rate,
                        result.firstTokenP50(),
                        result.firstTokenP95(),
                        result.firstTokenP99(),
                        result.interTokenP95(),
                        100 * result.cacheHitRate(),
                        result.callsWithinObjectivePerSecond());
            }
        }
    }
}
