package dev.jayturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.Rule;
import dev.jayturn.core.rules.RuleDelta;
import dev.jayturn.core.rules.RuleError;
import dev.jayturn.core.rules.RuleFile;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs one command that was parsed; returns its exit status. */
final class Commands {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int EXIT_DONE = 0;
    private static final int EXIT_REFUSED = 1;
    private static final int MAX_SEARCHED_BILLS = 1_000;

    private final Namespace options;
    private final ApiClient client;
    private final PrintStream out = System.out;

    Commands(Namespace options) {
        this.options = options;
        this.client = new ApiClient(options.getString("server"), options.getString("token"));
    }

    int run() throws IOException, InterruptedException {
        switch (options.getString("group") + " " + options.getString("command")) {
            case "rules check":
                return checkRules();
            case "rules diff":
                return diffRules();
            case "rules apply":
                return applyRules();
            case "rules show":
                return showRules();
            case "rules history":
                return fetchAndPrintRows("/v1/rules/history", "versions");
            case "budget credit":
                return creditBudget();
            case "budget show":
                return fetchAndPrint(
                        "/v1/budgets/" + ApiClient.urlEncode(options.getString("budget")));
            case "customer list":
                return listCustomers();
            case "bill list":
                return fetchAndPrintRows(
                        "/v1/bills?customer="
                                + ApiClient.urlEncode(options.getString("customer"))
                                + "&limit="
                                + options.getInt("limit"),
                        "bills");
            case "bill show":
                return showBill();
            case "claim list":
                return fetchAndPrintRows("/v1/claims", "claims");
            case "claim resolve":
                return resolveClaim();
            case "upstream list":
                return fetchAndPrintRows("/v1/upstreams", "upstreams");
            case "instance list":
                return fetchAndPrintRows("/v1/instances", "instances");
            case "drain drain":
                return printResponse(client.post("/v1/drain", MAPPER.createObjectNode()));
            case "codes codes":
                return listResultCodes();
            default:
                return fetchAndPrint("/v1/status");
        }
    }

    private String readFile() throws IOException {
        return Files.readString(Path.of(options.getString("file")), StandardCharsets.UTF_8);
    }

    private int checkRules() throws IOException {
        Either<List<RuleError>, List<Rule>> parsed = RuleFile.parse(readFile());
        if (parsed.isLeft()) {
            parsed.getLeft().forEach(error -> out.println(error.describe()));
            return EXIT_REFUSED;
        }
        out.println(parsed.get().size() + " rules are good");
        return EXIT_DONE;
    }

    private int diffRules() throws IOException, InterruptedException {
        Either<List<RuleError>, List<Rule>> parsed = RuleFile.parse(readFile());
        if (parsed.isLeft()) {
            parsed.getLeft().forEach(error -> out.println(error.describe()));
            return EXIT_REFUSED;
        }
        ApiClient.Response answer = client.get("/v1/rules");
        if (!answer.isOk()) {
            return printResponse(answer);
        }
        List<String> lines = new ArrayList<>();
        answer.body().path("lines").forEach(line -> lines.add(line.asText()));
        Map<String, String> before =
                RuleDelta.linesById(RuleFile.parse(String.join("\n", lines)).get());
        Map<String, String> after = RuleDelta.linesById(parsed.get());
        RuleDelta delta = RuleDelta.between(before, after);
        delta.removals().forEach(id -> out.println("- " + before.get(id)));
        delta.puts().forEach(line -> out.println("+ " + line));
        return EXIT_DONE;
    }

    private int applyRules() throws IOException, InterruptedException {
        Long expected = options.getLong("expect");
        if (expected == null) {
            ApiClient.Response present = client.get("/v1/rules");
            if (!present.isOk()) {
                return printResponse(present);
            }
            expected = present.body().path("version").asLong();
        }
        ObjectNode body = createChangeBody(options.getString("change_id"));
        body.put("expectedVersion", expected);
        body.put("text", readFile());
        return printResponse(client.post("/v1/rules", body));
    }

    /** Returns a change with an id, printed first so that the change can be sent again. */
    private ObjectNode createChangeBody(String id) {
        String used = id.isEmpty() ? UUID.randomUUID().toString() : id;
        if (id.isEmpty()) {
            System.err.println("change id " + used);
        }
        ObjectNode body = MAPPER.createObjectNode();
        body.put("changeId", used);
        body.put("operator", options.getString("operator"));
        return body;
    }

    private int showRules() throws IOException, InterruptedException {
        ApiClient.Response answer = client.get("/v1/rules");
        if (!answer.isOk() || options.getBoolean("json")) {
            return printResponse(answer);
        }
        out.println("# version " + answer.body().path("version").asLong());
        answer.body().path("lines").forEach(line -> out.println(line.asText()));
        return EXIT_DONE;
    }

    private int creditBudget() throws IOException, InterruptedException {
        ObjectNode body = createChangeBody(options.getString("credit_id"));
        body.put("tokens", options.getLong("tokens"));
        String budget = ApiClient.urlEncode(options.getString("budget"));
        return printResponse(client.post("/v1/budgets/" + budget + "/credits", body));
    }

    private int resolveClaim() throws IOException, InterruptedException {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("customer", options.getString("customer"));
        body.put("key", options.getString("key"));
        body.put("ran", options.getString("outcome").equals("ran"));
        body.put("operator", options.getString("operator"));
        return printResponse(client.post("/v1/claims", body));
    }

    private int listCustomers() throws IOException, InterruptedException {
        ApiClient.Response answer = client.get("/v1/rules");
        if (!answer.isOk()) {
            return printResponse(answer);
        }
        for (JsonNode line : answer.body().path("lines")) {
            if (line.asText().startsWith("customer ")) {
                out.println(line.asText());
            }
        }
        return EXIT_DONE;
    }

    private int showBill() throws IOException, InterruptedException {
        ApiClient.Response answer = client.get("/v1/bills?limit=" + MAX_SEARCHED_BILLS);
        if (!answer.isOk()) {
            return printResponse(answer);
        }
        int found = 0;
        for (JsonNode bill : answer.body().path("bills")) {
            if (bill.path("intent").asText().startsWith(options.getString("id"))) {
                found++;
                out.println(bill.toPrettyString());
            }
        }
        return found > 0 ? EXIT_DONE : EXIT_REFUSED;
    }

    private int fetchAndPrint(String path) throws IOException, InterruptedException {
        return printResponse(client.get(path));
    }

    private int fetchAndPrintRows(String path, String field)
            throws IOException, InterruptedException {
        ApiClient.Response answer = client.get(path);
        if (!answer.isOk() || options.getBoolean("json")) {
            return printResponse(answer);
        }
        for (JsonNode row : answer.body().path(field)) {
            StringBuilder text = new StringBuilder();
            row.fields()
                    .forEachRemaining(
                            entry ->
                                    text.append(entry.getKey())
                                            .append('=')
                                            .append(entry.getValue().asText())
                                            .append(' '));
            out.println(text.toString().trim());
        }
        return EXIT_DONE;
    }

    private int printResponse(ApiClient.Response answer) {
        if (options.getBoolean("json")) {
            out.println(answer.body());
        } else {
            answer.body()
                    .fields()
                    .forEachRemaining(
                            entry -> out.println(entry.getKey() + ": " + toText(entry.getValue())));
        }
        return answer.isOk() ? EXIT_DONE : EXIT_REFUSED;
    }

    private static String toText(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }

    private int listResultCodes() {
        for (ResultCode code : ResultCode.values()) {
            out.printf("%5d %3d %s%n", code.number(), code.httpStatus(), code.text());
        }
        return EXIT_DONE;
    }
}
