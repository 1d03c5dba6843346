package dev.jayturn.lab;

import com.google.common.base.Splitter;
import dev.jayturn.lab.budgets.BudgetExperiment;
import dev.jayturn.lab.budgets.DemandShape;
import dev.jayturn.lab.capacity.CapacityReport;
import dev.jayturn.lab.engine.EngineOptions;
import dev.jayturn.lab.engine.EngineProfile;
import dev.jayturn.lab.engine.EngineServer;
import dev.jayturn.lab.link.LinkServer;
import dev.jayturn.lab.load.LoadGenerator;
import dev.jayturn.lab.load.LoadOptions;
import dev.jayturn.lab.routing.RoutingExperiment;
import dev.jayturn.lab.service.ServiceServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommands of {@code jayturn lab}. */
public final class LabCommands {
    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();

    private LabCommands() {}

    /** Adds the subcommands to a command line. */
    public static void addTo(Subparsers subparsers) {
        addEngine(subparsers.addParser("engine").help("run a model engine stand-in"));
        addService(subparsers.addParser("service").help("run a plain service stand-in"));
        Subparser capacity = subparsers.addParser("capacity").help("measure slopes of cost");
        capacity.epilog("Example: jayturn lab capacity --out docs/capacity");
        capacity.addArgument("--out").setDefault("docs/capacity").help("folder of the report");
        Subparser routing = subparsers.addParser("routing").help("compare routing policies");
        routing.epilog("Example: jayturn lab routing --rates 20,40 --seed 1");
        routing.addArgument("--rates").setDefault("40,80,120,160,240").help("calls a second");
        addInteger(routing, "--seed", 1, "of the calls");
        addLink(subparsers.addParser("link").help("forward TCP over a slow link that can be cut"));
        addBudgets(subparsers.addParser("budgets").help("false refusals under a cut"));
        addLoad(subparsers.addParser("load").help("send calls at a fixed rate and check answers"));
    }

    private static void addCommonArguments(Subparser parser, String id, String service, int port) {
        parser.addArgument("--id").setDefault(id).help("unique name");
        parser.addArgument("--listen").setDefault("127.0.0.1:" + port).help("IP:port");
        parser.addArgument("--service").setDefault(service).help("service announced");
        parser.addArgument("--data-centre").setDefault("local").help("data centre announced");
        parser.addArgument("--announce").setDefault("127.0.0.1:8082").help("IP:port,...");
        parser.addArgument("--token").setDefault("").help("announcement token");
    }

    private static void addEngine(Subparser parser) {
        parser.epilog("Example: jayturn lab engine --id e1 --listen 127.0.0.1:9000 --models m");
        addCommonArguments(parser, "engine-1", "feuille-llm", 9000);
        parser.addArgument("--models").setDefault("feuille-7b").help("models, by comma");
        addInteger(parser, "--capacity", 256, "sequences in a batch");
        addInteger(parser, "--step-micros", 8_000, "time of a step");
        addInteger(parser, "--sequence-micros", 20, "time that each sequence adds to a step");
        parser.addArgument("--prefill-micros").type(Double.class).setDefault(20.0);
        addInteger(parser, "--cache-blocks", 4_096, "prompt blocks cached");
        parser.addArgument("--ignore-fencing").action(Arguments.storeTrue());
        parser.addArgument("--no-tombstones").action(Arguments.storeTrue());
        addInteger(parser, "--report-lag", 1_000, "milliseconds that load reports lag");
        parser.addArgument("--fault").setDefault("none").help("none,stall,break,cross,late");
        addInteger(parser, "--fault-every", 0, "one call in so many");
    }

    private static void addService(Subparser parser) {
        parser.epilog("Example: jayturn lab service --id p1 --listen 127.0.0.1:9100");
        addCommonArguments(parser, "service-1", "pesee-app", 9100);
        addInteger(parser, "--delay", 5, "milliseconds for a call");
        addInteger(parser, "--break-every", 0, "one posting in so many is run without an answer");
    }

    private static void addLink(Subparser parser) {
        parser.epilog("Example: jayturn lab link --forward 127.0.0.1:7101=127.0.0.1:7001");
        parser.addArgument("--forward").required(true).help("IP:port=IP:port,...");
        addInteger(parser, "--delay", 20, "one-way delay in milliseconds");
        addInteger(parser, "--kilobits", 40_000, "rate a second, shared");
        parser.addArgument("--admin").setDefault("127.0.0.1:7999").help("IP:port");
    }

    private static LinkServer createLink(Namespace options) {
        Map<InetSocketAddress, InetSocketAddress> forwards = new LinkedHashMap<>();
        for (String pair : parseList(options, "forward")) {
            List<String> ends = Splitter.on('=').splitToList(pair);
            forwards.put(parseAddress(ends.get(0)), parseAddress(ends.get(1)));
        }
        return new LinkServer(
                forwards,
                options.getInt("delay"),
                options.getInt("kilobits"),
                parseAddress(options.getString("admin")));
    }

    private static void addBudgets(Subparser parser) {
        parser.epilog("Example: jayturn lab budgets --demand shifting --seeds 3");
        parser.addArgument("--demand").setDefault("all").help("all,steady,shifting,bursting");
        addInteger(parser, "--seeds", 3, "runs of each, with seeds from 1");
    }

    private static int runBudgets(Namespace options) {
        String demand = options.getString("demand").toUpperCase(Locale.ROOT);
        for (DemandShape shape : DemandShape.values()) {
            if (!demand.equals("ALL") && !demand.equals(shape.name())) {
                continue;
            }
            for (int seed = 1; seed <= options.getInt("seeds"); seed++) {
                BudgetExperiment.print(
                        System.out, shape, seed, new BudgetExperiment(shape, seed).run());
            }
        }
        return 0;
    }

    private static void addLoad(Subparser parser) {
        parser.epilog("Example: jayturn lab load --rate 2000 --seconds 20 --keys k1,k2");
        parser.addArgument("--targets").setDefault("127.0.0.1:8080").help("IP:port,...");
        parser.addArgument("--direct").setDefault("").help("engine called without jayturn");
        parser.addArgument("--model").setDefault("feuille-7b");
        parser.addArgument("--service").setDefault("pesee-app");
        parser.addArgument("--rate").type(Double.class).setDefault(100.0).help("calls a second");
        addInteger(parser, "--warmup", 0, "seconds before the run that are not timed");
        addInteger(parser, "--seconds", 10, "length of the run");
        parser.addArgument("--keys").setDefault("demo-key").help("bearer keys, by comma");
        addInteger(parser, "--max-tokens", 16, "output cap");
        addInteger(parser, "--prompt-chars", 200, "characters of a short prompt");
        parser.addArgument("--long-share").type(Double.class).setDefault(0.0);
        parser.addArgument("--posting-share").type(Double.class).setDefault(0.0);
        addInteger(parser, "--retries", 0, "times that a call is sent again");
        addInteger(parser, "--seed", 1, "of the mix");
        parser.addArgument("--csv").setDefault("").help("file for the results");
    }

    private static void addInteger(Subparser parser, String name, int value, String help) {
        parser.addArgument(name).type(Integer.class).setDefault(value).help(help);
    }

    /** Runs a subcommand; servers run until the process ends. Returns the exit status. */
    public static int run(String command, Namespace options)
            throws IOException, InterruptedException {
        switch (command) {
            case "engine":
                EngineServer engine = new EngineServer(parseEngineOptions(options));
                System.out.println("engine at " + engine.address());
                Thread.currentThread().join();
                return 0;
            case "service":
                ServiceServer service = createService(options);
                System.out.println("service at " + service.address());
                Thread.currentThread().join();
                return 0;
            case "link":
                createLink(options);
                Thread.currentThread().join();
                return 0;
            case "capacity":
                CapacityReport.write(Path.of(options.getString("out")), System.out);
                return 0;
            case "routing":
                double[] rates =
                        parseList(options, "rates").stream()
                                .mapToDouble(Double::parseDouble)
                                .toArray();
                RoutingExperiment.print(System.out, rates, options.getInt("seed"));
                return 0;
            case "budgets":
                return runBudgets(options);
            default:
                return new LoadGenerator(parseLoadOptions(options)).run(System.out) ? 0 : 1;
        }
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static List<String> parseList(Namespace options, String name) {
        return COMMA_SPLITTER.splitToList(options.getString(name));
    }

    private static EngineOptions parseEngineOptions(Namespace options) {
        EngineProfile profile =
                new EngineProfile(
                        options.getInt("capacity"),
                        options.getInt("step_micros"),
                        options.getInt("sequence_micros"),
                        options.getDouble("prefill_micros"),
                        options.getInt("cache_blocks"));
        return new EngineOptions(
                options.getString("id"),
                parseAddress(options.getString("listen")),
                options.getString("service"),
                options.getString("data_centre"),
                parseList(options, "models"),
                profile,
                !options.getBoolean("ignore_fencing"),
                !options.getBoolean("no_tombstones"),
                parseList(options, "announce"),
                options.getString("token"),
                options.getInt("report_lag"),
                EngineOptions.Fault.valueOf(options.getString("fault").toUpperCase(Locale.ROOT)),
                options.getInt("fault_every"));
    }

    private static ServiceServer createService(Namespace options) {
        return new ServiceServer(
                options.getString("id"),
                parseAddress(options.getString("listen")),
                options.getString("service"),
                options.getString("data_centre"),
                parseList(options, "announce"),
                options.getString("token"),
                options.getInt("delay"),
                options.getInt("break_every"));
    }

    private static LoadOptions parseLoadOptions(Namespace options) {
        return new LoadOptions(
                parseList(options, "targets"),
                options.getString("direct"),
                options.getString("model"),
                options.getString("service"),
                options.getDouble("rate"),
                options.getInt("warmup"),
                options.getInt("seconds"),
                parseList(options, "keys"),
                options.getInt("max_tokens"),
                options.getInt("prompt_chars"),
                options.getDouble("long_share"),
                options.getDouble("posting_share"),
                options.getInt("retries"),
                options.getInt("seed"),
                options.getString("csv"));
    }
}
