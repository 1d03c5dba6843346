package dev.jayturn.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.jayturn.core.budget.Bill;
import dev.jayturn.core.budget.LedgerReading;
import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.control.ApplyRules;
import dev.jayturn.core.control.Claim;
import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.control.ControlRead;
import dev.jayturn.core.control.ControlReading;
import dev.jayturn.core.control.Credit;
import dev.jayturn.core.control.ResolveClaim;
import dev.jayturn.core.control.RulesVersion;
import dev.jayturn.core.membership.HubReading;
import dev.jayturn.core.membership.InstanceStatus;
import dev.jayturn.core.membership.LoadReport;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.Rule;
import dev.jayturn.core.rules.RuleDelta;
import dev.jayturn.core.rules.RuleError;
import dev.jayturn.core.rules.RuleFile;
import dev.jayturn.core.rules.RuleSet;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.Consumer;

/** The operators' HTTP API. A quorum confirms each read of control state before its response. */
public final class OperatorApi implements AdminApi {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long COMMIT_TIMEOUT_MILLIS = 5_000;
    private static final int DEFAULT_BILL_LIMIT = 50;
    private static final int MAX_BILL_LIMIT = 1_000;

    private final String token;
    private final OperatorContext context;
    private final PrometheusMeterRegistry registry;

    public OperatorApi(String token, OperatorContext context, PrometheusMeterRegistry metrics) {
        this.token = token;
        this.context = context;
        this.registry = metrics;
    }

    @Override
    public void handle(AdminRequest request, Consumer<AdminResponse> callback) {
        switch (request.path()) {
            case "/metrics":
                callback.accept(AdminResponse.text(200, registry.scrape()));
                return;
            case "/healthz":
                callback.accept(AdminResponse.text(context.isHealthy() ? 200 : 503, "\n"));
                return;
            case "/readyz":
                context.controlLoop()
                        .execute(
                                () -> callback.accept(AdminResponse.text(readinessStatus(), "\n")));
                return;
            default:
                break;
        }
        if (!request.isAuthorized(token)) {
            callback.accept(AdminResponse.of(ResultCode.OPERATOR_UNAUTHORIZED, ""));
            return;
        }
        context.controlLoop().execute(() -> dispatch(request, callback));
    }

    private int readinessStatus() {
        return context.isReady() ? 200 : 503;
    }

    private void dispatch(AdminRequest request, Consumer<AdminResponse> callback) {
        try {
            List<String> segments = request.pathSegments();
            String resource = segments.size() > 1 ? segments.get(1) : "";
            String operation = request.method() + " " + resource;
            switch (operation) {
                case "GET status":
                    showStatus(callback);
                    break;
                case "GET rules":
                    showRules(segments.size() > 2 && segments.get(2).equals("history"), callback);
                    break;
                case "POST rules":
                    applyRules(MAPPER.readTree(request.body()), callback);
                    break;
                case "GET budgets":
                    showBudget(segments.get(2), callback);
                    break;
                case "POST budgets":
                    creditBudget(segments.get(2), MAPPER.readTree(request.body()), callback);
                    break;
                case "GET bills":
                    listBills(request, callback);
                    break;
                case "GET claims":
                    listClaims(callback);
                    break;
                case "POST claims":
                    resolveClaim(MAPPER.readTree(request.body()), callback);
                    break;
                case "GET upstreams":
                    listUpstreams(callback);
                    break;
                case "GET instances":
                    listInstances(callback);
                    break;
                case "POST drain":
                    context.drain();
                    callback.accept(AdminResponse.of(ResultCode.OK, "draining"));
                    break;
                default:
                    callback.accept(AdminResponse.of(ResultCode.NOT_FOUND, request.path()));
                    break;
            }
        } catch (IOException | IndexOutOfBoundsException | IllegalArgumentException e) {
            callback.accept(
                    AdminResponse.of(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
        }
    }

    private void showStatus(Consumer<AdminResponse> callback) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("instance", context.instance());
        node.put("dataCentre", context.dataCentre());
        node.put("ready", context.isReady());
        node.put("draining", context.entry().isDraining());
        node.put("rulesVersion", context.hubClient().rules().version());
        node.put("hub", context.hubClient().hub());
        node.put("openCalls", context.entry().openCalls());
        node.put("upstreams", context.members().all().size());
        context.addControlStatus(node);
        callback.accept(AdminResponse.json(node));
    }

    private void showRules(boolean history, Consumer<AdminResponse> callback) {
        ControlRead.Part part = history ? ControlRead.Part.HISTORY : ControlRead.Part.RULES;
        readControl(
                part,
                "",
                callback,
                reading -> {
                    ObjectNode node = MAPPER.createObjectNode();
                    node.put("version", reading.version());
                    if (!history) {
                        reading.lines().forEach(node.putArray("lines")::add);
                        return node;
                    }
                    ArrayNode versions = node.putArray("versions");
                    for (RulesVersion version : reading.history()) {
                        ObjectNode entry = versions.addObject();
                        entry.put("version", version.version());
                        entry.put("changeId", version.changeId());
                        entry.put("operator", version.operator());
                        entry.put("atMillis", version.atMillis());
                        entry.put("put", version.delta().puts().size());
                        entry.put("removed", version.delta().removals().size());
                    }
                    return node;
                });
    }

    private interface ReadingFormatter {
        ObjectNode format(ControlReading reading);
    }

    private void readControl(
            ControlRead.Part part,
            String budget,
            Consumer<AdminResponse> callback,
            ReadingFormatter formatter) {
        context.queryClient()
                .readControl(
                        part,
                        budget,
                        reading -> {
                            if (reading.code() != ResultCode.OK) {
                                callback.accept(AdminResponse.of(reading.code(), ""));
                            } else {
                                callback.accept(AdminResponse.json(formatter.format(reading)));
                            }
                        });
    }

    private void applyRules(JsonNode body, Consumer<AdminResponse> callback) {
        String text = body.path("text").asText();
        Either<List<RuleError>, List<Rule>> parsed = RuleFile.parse(text);
        if (parsed.isLeft()) {
            callback.accept(formatRuleErrors(parsed.getLeft()));
            return;
        }
        Map<String, String> newLines = RuleDelta.linesById(parsed.get());
        long expectedVersion = body.path("expectedVersion").asLong(-1);
        long currentVersion = context.hubClient().rules().version();
        if (expectedVersion > currentVersion) {
            callback.accept(
                    AdminResponse.of(ResultCode.VERSION_CONFLICT, "version " + currentVersion));
            return;
        }
        // A change that expects an older version is refused unless it is a retry of an accepted
        // change, which gets its first answer again. Neither uses the delta.
        RuleDelta delta =
                expectedVersion == currentVersion
                        ? RuleDelta.between(context.hubClient().rules().lines(), newLines)
                        : new RuleDelta(List.of(), List.of());
        commit(
                new ApplyRules(
                        changeIdOrRandom(body),
                        newLines.hashCode(),
                        expectedVersion,
                        delta,
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                callback);
    }

    private static String changeIdOrRandom(JsonNode body) {
        String id = body.path("changeId").asText();
        return id.isEmpty() ? UUID.randomUUID().toString() : id;
    }

    private static AdminResponse formatRuleErrors(List<RuleError> errors) {
        ObjectNode node = MAPPER.createObjectNode();
        ResultCode firstCode = errors.get(0).code();
        node.put("code", firstCode.number());
        node.put("text", firstCode.text());
        ArrayNode errorNodes = node.putArray("errors");
        errors.forEach(error -> errorNodes.add(error.describe()));
        return new AdminResponse(firstCode.httpStatus(), "application/json", node.toString());
    }

    private void commit(Command command, Consumer<AdminResponse> callback) {
        context.entry()
                .control()
                .commit(
                        command,
                        COMMIT_TIMEOUT_MILLIS,
                        outcome -> callback.accept(formatOutcome(outcome)));
    }

    private static AdminResponse formatOutcome(ControlOutcome outcome) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("code", outcome.code().number());
        node.put("text", outcome.code().text());
        node.put("version", outcome.version());
        return new AdminResponse(outcome.code().httpStatus(), "application/json", node.toString());
    }

    private void showBudget(String name, Consumer<AdminResponse> callback) {
        context.queryClient()
                .queryLedgers(name, "", 0, ledgers -> showBudgetTotals(name, ledgers, callback));
    }

    private void showBudgetTotals(
            String name, List<LedgerReading> ledgers, Consumer<AdminResponse> callback) {
        readControl(
                ControlRead.Part.BUDGET,
                name,
                callback,
                reading -> {
                    ObjectNode node = MAPPER.createObjectNode();
                    node.put("budget", name);
                    node.put("credited", reading.credited());
                    long spent = 0;
                    long reserved = 0;
                    ArrayNode ledgerNodes = node.putArray("ledgers");
                    for (LedgerReading ledger : ledgers) {
                        spent += ledger.spent();
                        reserved += ledger.reserved();
                        ObjectNode entry = ledgerNodes.addObject();
                        entry.put("ledger", ledger.ledger());
                        entry.put("spent", ledger.spent());
                        entry.put("reserved", ledger.reserved());
                        entry.put("available", ledger.available());
                    }
                    node.put("spent", spent);
                    node.put("reserved", reserved);
                    node.put("remaining", reading.credited() - spent - reserved);
                    node.put("complete", ledgers.size() == context.ledgerCount());
                    return node;
                });
    }

    private void creditBudget(String budget, JsonNode body, Consumer<AdminResponse> callback) {
        if (context.hubClient().rules().hasBudget(budget)) {
            commitCredit(budget, body, callback);
            return;
        }
        // This instance may not have received a newly accepted rule yet; the leader has it.
        context.queryClient()
                .readControl(
                        ControlRead.Part.RULES,
                        "",
                        reading -> {
                            if (RuleSet.compile(0, reading.lines()).hasBudget(budget)) {
                                commitCredit(budget, body, callback);
                            } else {
                                callback.accept(
                                        AdminResponse.of(ResultCode.NOT_FOUND, "budget " + budget));
                            }
                        });
    }

    private void commitCredit(String budget, JsonNode body, Consumer<AdminResponse> callback) {
        commit(
                new Credit(
                        changeIdOrRandom(body),
                        budget,
                        body.path("tokens").asLong(),
                        List.of(),
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                callback);
    }

    private void listBills(AdminRequest request, Consumer<AdminResponse> callback) {
        String limitText = request.queryParameter("limit");
        int limit =
                limitText.matches("\\d{1,6}") ? Integer.parseInt(limitText) : DEFAULT_BILL_LIMIT;
        context.queryClient()
                .queryLedgers(
                        "",
                        request.queryParameter("customer"),
                        Math.min(limit, MAX_BILL_LIMIT),
                        ledgers -> callback.accept(AdminResponse.json(listBills(ledgers))));
    }

    private ObjectNode listBills(List<LedgerReading> ledgers) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("complete", ledgers.size() == context.ledgerCount());
        ArrayNode bills = node.putArray("bills");
        for (LedgerReading ledger : ledgers) {
            for (Bill bill : ledger.bills()) {
                ObjectNode entry = bills.addObject();
                entry.put("intent", bill.intentId());
                entry.put("customer", bill.customer());
                entry.put("budget", bill.budget());
                entry.put("tokens", bill.tokens());
                entry.put("repeated", bill.repeated());
                entry.put("key", bill.key());
                entry.put("ledger", ledger.ledger());
            }
        }
        return node;
    }

    private void listClaims(Consumer<AdminResponse> callback) {
        readControl(
                ControlRead.Part.CLAIMS,
                "",
                callback,
                reading -> {
                    ObjectNode node = MAPPER.createObjectNode();
                    ArrayNode claims = node.putArray("claims");
                    for (Claim claim : reading.claims()) {
                        ObjectNode entry = claims.addObject();
                        entry.put("customer", claim.customer());
                        entry.put("key", claim.key());
                        entry.put("service", claim.service());
                        entry.put("state", claim.outcome().state().name());
                        entry.put("atMillis", claim.atMillis());
                    }
                    return node;
                });
    }

    private void resolveClaim(JsonNode body, Consumer<AdminResponse> callback) {
        commit(
                new ResolveClaim(
                        body.path("customer").asText(),
                        body.path("key").asText(),
                        body.path("ran").asBoolean(),
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                callback);
    }

    private void listUpstreams(Consumer<AdminResponse> callback) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode upstreams = node.putArray("upstreams");
        for (Upstream upstream : context.members().all()) {
            LoadReport load = context.members().load(upstream.id());
            ObjectNode entry = upstreams.addObject();
            entry.put("id", upstream.id());
            entry.put("service", upstream.service());
            entry.put("address", upstream.address());
            entry.put("dataCentre", upstream.dataCentre());
            entry.put("capacity", upstream.capacity());
            entry.put("running", load.running());
            entry.put("queued", load.queued());
            entry.put("fencing", upstream.fencing());
            entry.put("tombstones", upstream.tombstones());
            entry.put("leaving", upstream.leaving());
        }
        callback.accept(AdminResponse.json(node));
    }

    private void listInstances(Consumer<AdminResponse> callback) {
        context.queryClient()
                .queryHubs(
                        hubs -> {
                            ObjectNode node = MAPPER.createObjectNode();
                            ArrayNode instances = node.putArray("instances");
                            for (HubReading hub : hubs) {
                                for (InstanceStatus status : hub.instances()) {
                                    ObjectNode entry = instances.addObject();
                                    entry.put("instance", status.instance());
                                    entry.put("dataCentre", status.dataCentre());
                                    entry.put("rulesVersion", status.rulesVersion());
                                    entry.put("hub", hub.hub());
                                }
                            }
                            callback.accept(AdminResponse.json(node));
                        });
    }
}
