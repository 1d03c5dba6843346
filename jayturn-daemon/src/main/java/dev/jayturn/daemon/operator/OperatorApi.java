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

/** The operators' API. Reads of the control log are confirmed by a quorum before they are given. */
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
    public void handle(AdminRequest request, Consumer<AdminResponse> reply) {
        switch (request.path()) {
            case "/metrics":
                reply.accept(AdminResponse.text(200, registry.scrape()));
                return;
            case "/healthz":
                reply.accept(AdminResponse.text(context.isHealthy() ? 200 : 503, "\n"));
                return;
            case "/readyz":
                context.controlLoop()
                        .execute(() -> reply.accept(AdminResponse.text(readinessStatus(), "\n")));
                return;
            default:
                break;
        }
        if (!request.isAuthorized(token)) {
            reply.accept(AdminResponse.of(ResultCode.OPERATOR_UNAUTHORIZED, ""));
            return;
        }
        context.controlLoop().execute(() -> dispatch(request, reply));
    }

    private int readinessStatus() {
        return context.isReady() ? 200 : 503;
    }

    private void dispatch(AdminRequest request, Consumer<AdminResponse> reply) {
        List<String> parts = request.pathSegments();
        String what = parts.size() > 1 ? parts.get(1) : "";
        String method = request.method() + " " + what;
        try {
            switch (method) {
                case "GET status":
                    showStatus(reply);
                    break;
                case "GET rules":
                    showRules(parts.size() > 2 && parts.get(2).equals("history"), reply);
                    break;
                case "POST rules":
                    applyRules(MAPPER.readTree(request.body()), reply);
                    break;
                case "GET budgets":
                    showBudget(parts.get(2), reply);
                    break;
                case "POST budgets":
                    creditBudget(parts.get(2), MAPPER.readTree(request.body()), reply);
                    break;
                case "GET bills":
                    listBills(request, reply);
                    break;
                case "GET claims":
                    listClaims(reply);
                    break;
                case "POST claims":
                    resolveClaim(MAPPER.readTree(request.body()), reply);
                    break;
                case "GET upstreams":
                    listUpstreams(reply);
                    break;
                case "GET instances":
                    listInstances(reply);
                    break;
                case "POST drain":
                    context.drain();
                    reply.accept(AdminResponse.of(ResultCode.OK, "draining"));
                    break;
                default:
                    reply.accept(AdminResponse.of(ResultCode.NOT_FOUND, request.path()));
                    break;
            }
        } catch (IOException | IndexOutOfBoundsException e) {
            reply.accept(
                    AdminResponse.of(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
        }
    }

    private void showStatus(Consumer<AdminResponse> reply) {
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
        reply.accept(AdminResponse.json(node));
    }

    private void showRules(boolean history, Consumer<AdminResponse> reply) {
        ControlRead.Part part = history ? ControlRead.Part.HISTORY : ControlRead.Part.RULES;
        readControl(
                part,
                "",
                reply,
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
            Consumer<AdminResponse> reply,
            ReadingFormatter shape) {
        context.queryClient()
                .readControl(
                        part,
                        budget,
                        reading -> {
                            if (reading.code() != ResultCode.OK) {
                                reply.accept(AdminResponse.of(reading.code(), ""));
                            } else {
                                reply.accept(AdminResponse.json(shape.format(reading)));
                            }
                        });
    }

    private void applyRules(JsonNode body, Consumer<AdminResponse> reply) {
        String text = body.path("text").asText();
        Either<List<RuleError>, List<Rule>> parsed = RuleFile.parse(text);
        if (parsed.isLeft()) {
            reply.accept(formatRuleErrors(parsed.getLeft()));
            return;
        }
        Map<String, String> after = RuleDelta.linesById(parsed.get());
        long expected = body.path("expectedVersion").asLong(-1);
        long held = context.hubClient().rules().version();
        if (expected > held) {
            reply.accept(AdminResponse.of(ResultCode.VERSION_CONFLICT, "version " + held));
            return;
        }
        // A change to an older version cannot be accepted; it is sent only for its first answer.
        RuleDelta delta =
                expected == held
                        ? RuleDelta.between(context.hubClient().rules().lines(), after)
                        : new RuleDelta(List.of(), List.of());
        commit(
                new ApplyRules(
                        changeIdOrRandom(body),
                        after.hashCode(),
                        expected,
                        delta,
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                reply);
    }

    private static String changeIdOrRandom(JsonNode body) {
        String id = body.path("changeId").asText();
        return id.isEmpty() ? UUID.randomUUID().toString() : id;
    }

    private static AdminResponse formatRuleErrors(List<RuleError> errors) {
        ObjectNode node = MAPPER.createObjectNode();
        ResultCode first = errors.get(0).code();
        node.put("code", first.number());
        node.put("text", first.text());
        ArrayNode all = node.putArray("errors");
        errors.forEach(error -> all.add(error.describe()));
        return new AdminResponse(first.httpStatus(), "application/json", node.toString());
    }

    private void commit(Command command, Consumer<AdminResponse> reply) {
        context.entry()
                .control()
                .commit(
                        command,
                        COMMIT_TIMEOUT_MILLIS,
                        outcome -> reply.accept(formatOutcome(outcome)));
    }

    private static AdminResponse formatOutcome(ControlOutcome outcome) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("code", outcome.code().number());
        node.put("text", outcome.code().text());
        node.put("version", outcome.version());
        return new AdminResponse(outcome.code().httpStatus(), "application/json", node.toString());
    }

    private void showBudget(String name, Consumer<AdminResponse> reply) {
        context.queryClient()
                .queryLedgers(name, "", 0, ledgers -> showBudgetTotals(name, ledgers, reply));
    }

    private void showBudgetTotals(
            String name, List<LedgerReading> ledgers, Consumer<AdminResponse> reply) {
        readControl(
                ControlRead.Part.BUDGET,
                name,
                reply,
                reading -> {
                    ObjectNode node = MAPPER.createObjectNode();
                    node.put("budget", name);
                    node.put("credited", reading.credited());
                    long spent = 0;
                    long reserved = 0;
                    ArrayNode parts = node.putArray("ledgers");
                    for (LedgerReading ledger : ledgers) {
                        spent += ledger.spent();
                        reserved += ledger.reserved();
                        ObjectNode part = parts.addObject();
                        part.put("ledger", ledger.ledger());
                        part.put("spent", ledger.spent());
                        part.put("reserved", ledger.reserved());
                        part.put("available", ledger.available());
                    }
                    node.put("spent", spent);
                    node.put("reserved", reserved);
                    node.put("remaining", reading.credited() - spent - reserved);
                    node.put("complete", ledgers.size() == context.ledgerCount());
                    return node;
                });
    }

    private void creditBudget(String budget, JsonNode body, Consumer<AdminResponse> reply) {
        if (context.hubClient().rules().hasBudget(budget)) {
            commitCredit(budget, body, reply);
            return;
        }
        // The rule may have been accepted a moment ago and not be here yet.
        context.queryClient()
                .readControl(
                        ControlRead.Part.RULES,
                        "",
                        reading -> {
                            if (RuleSet.compile(0, reading.lines()).hasBudget(budget)) {
                                commitCredit(budget, body, reply);
                            } else {
                                reply.accept(
                                        AdminResponse.of(ResultCode.NOT_FOUND, "budget " + budget));
                            }
                        });
    }

    private void commitCredit(String budget, JsonNode body, Consumer<AdminResponse> reply) {
        commit(
                new Credit(
                        changeIdOrRandom(body),
                        budget,
                        body.path("tokens").asLong(),
                        List.of(),
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                reply);
    }

    private void listBills(AdminRequest request, Consumer<AdminResponse> reply) {
        String asked = request.queryParameter("limit");
        int limit = asked.matches("\\d{1,6}") ? Integer.parseInt(asked) : DEFAULT_BILL_LIMIT;
        context.queryClient()
                .queryLedgers(
                        "",
                        request.queryParameter("customer"),
                        Math.min(limit, MAX_BILL_LIMIT),
                        ledgers -> reply.accept(AdminResponse.json(listBills(ledgers))));
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

    private void listClaims(Consumer<AdminResponse> reply) {
        readControl(
                ControlRead.Part.CLAIMS,
                "",
                reply,
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

    private void resolveClaim(JsonNode body, Consumer<AdminResponse> reply) {
        commit(
                new ResolveClaim(
                        body.path("customer").asText(),
                        body.path("key").asText(),
                        body.path("ran").asBoolean(),
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                reply);
    }

    private void listUpstreams(Consumer<AdminResponse> reply) {
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
        reply.accept(AdminResponse.json(node));
    }

    private void listInstances(Consumer<AdminResponse> reply) {
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
                            reply.accept(AdminResponse.json(node));
                        });
    }
}
