package dev.jayturn.cli;

import dev.jayturn.lab.LabCommands;
import java.io.IOException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Entry point of the binary jayturn. */
public final class JayturnMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_UNREACHABLE = 3;

    private JayturnMain() {}

    /** Runs one command; the exit status is 0 done, 1 refused, 2 usage, 3 unreachable. */
    public static void main(String[] args) throws InterruptedException {
        ArgumentParser parser = createParser();
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (HelpScreenException e) {
            return;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
            return;
        }
        try {
            System.exit(run(options));
        } catch (IOException e) {
            System.err.println("jayturn: " + options.getString("server") + ": " + e.getMessage());
            System.exit(EXIT_UNREACHABLE);
        }
    }

    private static int run(Namespace options) throws IOException, InterruptedException {
        if (options.getString("group").equals("lab")) {
            return LabCommands.run(options.getString("command"), options);
        }
        return new Commands(options).run();
    }

    static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("jayturn")
                        .build()
                        .description("Drives a jayturn fleet.")
                        .epilog("Example: jayturn rules apply rules.txt --expect 4");
        Subparsers groups = parser.addSubparsers().dest("group").metavar("COMMAND");
        addRulesCommands(addGroup(groups, "rules", "check, compare and apply rules"));
        addBudgetCommands(addGroup(groups, "budget", "credit and show budgets"));
        Subparsers customers = addGroup(groups, "customer", "list customers");
        addCommand(customers, "list", "list customers", "customer list");
        Subparsers bills = addGroup(groups, "bill", "list bills");
        Subparser billList = addCommand(bills, "list", "newest bills", "bill list --customer roy");
        billList.addArgument("--customer").setDefault("");
        billList.addArgument("--limit").type(Integer.class).setDefault(20);
        Subparser billShow = addCommand(bills, "show", "bills of a request", "bill show CALL");
        billShow.addArgument("id").help("call or intent id");
        addClaimCommands(addGroup(groups, "claim", "list and resolve claims with unknown outcome"));
        Subparsers upstreams = addGroup(groups, "upstream", "list upstreams");
        addCommand(upstreams, "list", "list upstreams", "upstream list");
        Subparsers instances = addGroup(groups, "instance", "list instances");
        addCommand(instances, "list", "instances with their rules version", "instance list");
        addTopLevelCommand(groups, "status", "the state of one instance");
        addTopLevelCommand(groups, "drain", "let one instance finish and end");
        addTopLevelCommand(groups, "codes", "list the result codes");
        LabCommands.addTo(addGroup(groups, "lab", "run stand-ins and loads"));
        return parser;
    }

    private static Subparsers addGroup(Subparsers groups, String name, String help) {
        return groups.addParser(name).help(help).addSubparsers().dest("command");
    }

    private static Subparser addCommand(
            Subparsers group, String name, String help, String example) {
        Subparser parser = group.addParser(name).help(help).epilog("Example: jayturn " + example);
        addCommonOptions(parser);
        return parser;
    }

    private static void addTopLevelCommand(Subparsers groups, String name, String help) {
        Subparser parser = groups.addParser(name).help(help);
        parser.epilog("Example: jayturn " + name + " --server 127.0.0.1:8081");
        parser.setDefault("command", name);
        addCommonOptions(parser);
    }

    private static void addCommonOptions(Subparser parser) {
        String token = System.getenv().getOrDefault("JAYTURN_TOKEN", "");
        parser.addArgument("--server").setDefault("127.0.0.1:8081").help("operators' IP:port");
        parser.addArgument("--token").setDefault(token).help("or the variable JAYTURN_TOKEN");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        parser.addArgument("--operator")
                .setDefault(System.getProperty("user.name"))
                .help("who makes the change");
    }

    private static void addRulesCommands(Subparsers rules) {
        addCommand(rules, "check", "check a file", "rules check rules.txt").addArgument("file");
        addCommand(rules, "diff", "compare a file with what is in force", "rules diff rules.txt")
                .addArgument("file");
        Subparser apply =
                addCommand(
                        rules, "apply", "put a file in force", "rules apply rules.txt --expect 4");
        apply.addArgument("file");
        apply.addArgument("--expect")
                .type(Long.class)
                .help("version that must be in force; the present one if absent");
        apply.addArgument("--change-id").setDefault("").help("the same id is accepted once");
        addCommand(rules, "show", "print the rules in force", "rules show");
        addCommand(rules, "history", "list accepted versions", "rules history");
    }

    private static void addBudgetCommands(Subparsers budgets) {
        Subparser credit =
                addCommand(
                        budgets,
                        "credit",
                        "add tokens",
                        "budget credit season 50000 --credit-id 7");
        credit.addArgument("budget");
        credit.addArgument("tokens").type(Long.class);
        credit.addArgument("--credit-id").setDefault("").help("the same id counts once");
        addCommand(budgets, "show", "credited, spent and remaining", "budget show season")
                .addArgument("budget");
    }

    private static void addClaimCommands(Subparsers claims) {
        addCommand(claims, "list", "claims whose outcome is not known", "claim list");
        Subparser resolve =
                addCommand(
                        claims,
                        "resolve",
                        "say what became of a call",
                        "claim resolve roy KEY ran");
        resolve.addArgument("customer");
        resolve.addArgument("key");
        resolve.addArgument("outcome").choices("ran", "not-run");
    }
}
