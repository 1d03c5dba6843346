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
    private static final int ENGINES = 8;
    private static final int INSTANCES = 6;
    private static final int PREFIXES = 120;
    private static final int PREFIX_CHARS = 2_048;
    private static final int TAIL_CHARS = 200;
    private static final int MAX_TOKENS = 64;
    private static final long SECONDS = 120;
    private static final long REPORT_MILLIS = 1_000;
    private static final long LAG_MILLIS = 1_000;
    private static final long GOOD_MILLIS = 2_000;
    private static final EngineProfile PROFILE = new EngineProfile(32, 8_000, 250, 60, 600);

    private final String policy;
    private final double perSecond;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<VirtualEngine> engines = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final List<MembersView> views = new ArrayList<>();
    private final Histogram first = new Histogram(3);
    private final Histogram between = new Histogram(3);
    private long calls;
    private long good;

    /** Creates a run of one policy at a rate of calls a second. */
    public RoutingExperiment(String policy, double perSecond, long seed) {
        this.policy = policy;
        this.perSecond = perSecond;
        this.random = new Random(seed);
        VirtualNetwork network = new VirtualNetwork(time, random);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new VirtualEngine("engine" + i, time, PROFILE));
        }
        for (int i = 0; i < INSTANCES; i++) {
            VirtualProcess process = new VirtualProcess("entry" + i, time, network);
            MembersView view = new MembersView(process, REPORT_MILLIS * 10);
            views.add(view);
            routers.add(new Router(view, new CircuitBreakers(process), new SeededRandom(random)));
        }
    }

    /** What a run yielded; times in milliseconds. */
    public record Result(
            String policy,
            double perSecond,
            double firstP50,
            double firstP95,
            double firstP99,
            double betweenP95,
            double hitRate,
            double goodPerSecond) {}

    /** Runs for two virtual minutes and some more for the last answers. */
    public Result run() {
        report();
        time.runFor(LAG_MILLIS);
        long next = 0;
        while (next < SECONDS * 1_000) {
            time.schedule(next, this::arrive);
            next += (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
        }
        time.runFor(SECONDS * 1_000 + 30_000);
        double hits = 0;
        for (VirtualEngine engine : engines) {
            hits += engine.hitRate() / ENGINES;
        }
        return new Result(
                policy,
                perSecond,
                first.getValueAtPercentile(50),
                first.getValueAtPercentile(95),
                first.getValueAtPercentile(99),
                between.getValueAtPercentile(95),
                hits,
                (double) good / SECONDS);
    }

    private void report() {
        for (VirtualEngine engine : engines) {
            Announce announce = engine.announcement();
            time.schedule(
                    LAG_MILLIS, () -> views.forEach(view -> view.applyAnnouncement(announce)));
        }
        time.schedule(REPORT_MILLIS, this::report);
    }

    /** A few prefixes are asked for far more often than the rest. */
    private void arrive() {
        double skew = random.nextDouble() * random.nextDouble();
        int prefix = (int) (skew * PREFIXES);
        Router router = routers.get(random.nextInt(INSTANCES));
        String id = "c" + ++calls;
        RouteChoice choice =
                router.route(new RouteQuery(id, "llm", "m", policy, prefix, Set.of())).get();
        String engineId = choice.upstream().id();
        router.requestStarted(engineId);
        VirtualEngine engine = engines.get(Integer.parseInt(engineId.substring(6)));
        engine.start(id, prompt(prefix, id), MAX_TOKENS, new Answer(router, engineId));
    }

    private static String prompt(int prefix, String id) {
        StringBuilder text = new StringBuilder();
        while (text.length() < PREFIX_CHARS) {
            text.append("season ").append(prefix).append(" slip; ");
        }
        text.setLength(PREFIX_CHARS);
        while (text.length() < PREFIX_CHARS + TAIL_CHARS) {
            text.append(id).append(' ');
        }
        return text.toString();
    }

    private final class Answer implements Sequence.Listener {
        private final Router router;
        private final String engineId;
        private final long startMillis = time.nowMillis();
        private long lastMillis;

        Answer(Router router, String engineId) {
            this.router = router;
            this.engineId = engineId;
        }

        @Override
        public void token(Sequence sequence, int index, boolean last) {
            long now = time.nowMillis();
            if (index == 0) {
                first.recordValue(now - startMillis);
                good += now - startMillis <= GOOD_MILLIS ? 1 : 0;
            } else {
                between.recordValue(now - lastMillis);
            }
            lastMillis = now;
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
                        result.firstP50(),
                        result.firstP95(),
                        result.firstP99(),
                        result.betweenP95(),
                        100 * result.hitRate(),
                        result.goodPerSecond());
            }
        }
    }
}
