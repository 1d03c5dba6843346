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
    private static final long COMMIT_WAIT_MILLIS = 5_000;
    private static final int DEFAULT_LIMIT = 50;
    private static final int MAX_LIMIT = 1_000;

    private final String token;
    private final OperatorContext context;
    private final PrometheusMeterRegistry metrics;

    public OperatorApi(String token, OperatorContext context, PrometheusMeterRegistry metrics) {
        this.token = token;
        this.context = context;
        this.metrics = metrics;
    }

    @Override
    public void handle(AdminRequest request, Consumer<AdminReply> reply) {
        switch (request.path()) {
            case "/metrics":
                reply.accept(AdminReply.text(200, metrics.scrape()));
                return;
            case "/healthz":
                reply.accept(AdminReply.text(context.isHealthy() ? 200 : 503, "\n"));
                return;
            case "/readyz":
                context.loop().execute(() -> reply.accept(AdminReply.text(readyStatus(), "\n")));
                return;
            default:
                break;
        }
        if (!request.hasToken(token)) {
            reply.accept(AdminReply.of(ResultCode.OPERATOR_UNAUTHORIZED, ""));
            return;
        }
        context.loop().execute(() -> route(request, reply));
    }

    private int readyStatus() {
        return context.isReady() ? 200 : 503;
    }

    private void route(AdminRequest request, Consumer<AdminReply> reply) {
        List<String> parts = request.parts();
        String what = parts.size() > 1 ? parts.get(1) : "";
        String method = request.method() + " " + what;
        try {
            switch (method) {
                case "GET status":
                    status(reply);
                    break;
                case "GET rules":
                    rules(parts.size() > 2 && parts.get(2).equals("history"), reply);
                    break;
                case "POST rules":
                    applyRules(MAPPER.readTree(request.body()), reply);
                    break;
                case "GET budgets":
                    budget(parts.get(2), reply);
                    break;
                case "POST budgets":
                    credit(parts.get(2), MAPPER.readTree(request.body()), reply);
                    break;
                case "GET bills":
                    bills(request, reply);
                    break;
                case "GET claims":
                    claims(reply);
                    break;
                case "POST claims":
                    resolveClaim(MAPPER.readTree(request.body()), reply);
                    break;
                case "GET upstreams":
                    upstreams(reply);
                    break;
                case "GET instances":
                    instances(reply);
                    break;
                case "POST drain":
                    context.drain();
                    reply.accept(AdminReply.of(ResultCode.OK, "draining"));
                    break;
                default:
                    reply.accept(AdminReply.of(ResultCode.NOT_FOUND, request.path()));
                    break;
            }
        } catch (IOException | IndexOutOfBoundsException e) {
            reply.accept(
                    AdminReply.of(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
        }
    }

    private void status(Consumer<AdminReply> reply) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("instance", context.instance());
        node.put("dataCentre", context.dataCentre());
        node.put("ready", context.isReady());
        node.put("draining", context.entry().isDraining());
        node.put("rulesVersion", context.hub().rules().version());
        node.put("hub", context.hub().hub());
        node.put("openCalls", context.entry().openCalls());
        node.put("upstreams", context.members().all().size());
        context.describeControl(node);
        reply.accept(AdminReply.json(node));
    }

    private void rules(boolean history, Consumer<AdminReply> reply) {
        ControlRead.Part part = history ? ControlRead.Part.HISTORY : ControlRead.Part.RULES;
        read(
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

    private interface Shape {
        ObjectNode of(ControlReading reading);
    }

    private void read(
            ControlRead.Part part, String budget, Consumer<AdminReply> reply, Shape shape) {
        context.gathering()
                .control(
                        part,
                        budget,
                        reading -> {
                            if (reading.code() != ResultCode.OK) {
                                reply.accept(AdminReply.of(reading.code(), ""));
                            } else {
                                reply.accept(AdminReply.json(shape.of(reading)));
                            }
                        });
    }

    private void applyRules(JsonNode body, Consumer<AdminReply> reply) {
        String text = body.path("text").asText();
        Either<List<RuleError>, List<Rule>> parsed = RuleFile.parse(text);
        if (parsed.isLeft()) {
            reply.accept(ruleErrors(parsed.getLeft()));
            return;
        }
        Map<String, String> after = RuleDelta.linesById(parsed.get());
        long expected = body.path("expectedVersion").asLong(-1);
        long held = context.hub().rules().version();
        if (expected > held) {
            reply.accept(AdminReply.of(ResultCode.VERSION_CONFLICT, "version " + held));
            return;
        }
        // A change to an older version cannot be accepted; it is sent only for its first answer.
        RuleDelta delta =
                expected == held
                        ? RuleDelta.between(context.hub().rules().lines(), after)
                        : new RuleDelta(List.of(), List.of());
        commit(
                new ApplyRules(
                        changeId(body),
                        after.hashCode(),
                        expected,
                        delta,
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                reply);
    }

    private static String changeId(JsonNode body) {
        String id = body.path("changeId").asText();
        return id.isEmpty() ? UUID.randomUUID().toString() : id;
    }

    private static AdminReply ruleErrors(List<RuleError> errors) {
        ObjectNode node = MAPPER.createObjectNode();
        ResultCode first = errors.get(0).code();
        node.put("code", first.number());
        node.put("text", first.text());
        ArrayNode all = node.putArray("errors");
        errors.forEach(error -> all.add(error.describe()));
        return new AdminReply(first.httpStatus(), "application/json", node.toString());
    }

    private void commit(Command command, Consumer<AdminReply> reply) {
        context.entry()
                .control()
                .commit(command, COMMIT_WAIT_MILLIS, outcome -> reply.accept(outcome(outcome)));
    }

    private static AdminReply outcome(ControlOutcome outcome) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("code", outcome.code().number());
        node.put("text", outcome.code().text());
        node.put("version", outcome.version());
        return new AdminReply(outcome.code().httpStatus(), "application/json", node.toString());
    }

    private void budget(String name, Consumer<AdminReply> reply) {
        context.gathering().ledgers(name, "", 0, ledgers -> budgetWith(name, ledgers, reply));
    }

    private void budgetWith(String name, List<LedgerReading> ledgers, Consumer<AdminReply> reply) {
        read(
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
                    node.put("complete", ledgers.size() == context.ledgers());
                    return node;
                });
    }

    private void credit(String budget, JsonNode body, Consumer<AdminReply> reply) {
        if (context.hub().rules().hasBudget(budget)) {
            commitCredit(budget, body, reply);
            return;
        }
        // The rule may have been accepted a moment ago and not be here yet.
        context.gathering()
                .control(
                        ControlRead.Part.RULES,
                        "",
                        reading -> {
                            if (RuleSet.compile(0, reading.lines()).hasBudget(budget)) {
                                commitCredit(budget, body, reply);
                            } else {
                                reply.accept(
                                        AdminReply.of(ResultCode.NOT_FOUND, "budget " + budget));
                            }
                        });
    }

    private void commitCredit(String budget, JsonNode body, Consumer<AdminReply> reply) {
        commit(
                new Credit(
                        changeId(body),
                        budget,
                        body.path("tokens").asLong(),
                        List.of(),
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                reply);
    }

    private void bills(AdminRequest request, Consumer<AdminReply> reply) {
        String asked = request.parameter("limit");
        int limit = asked.matches("\\d{1,6}") ? Integer.parseInt(asked) : DEFAULT_LIMIT;
        context.gathering()
                .ledgers(
                        "",
                        request.parameter("customer"),
                        Math.min(limit, MAX_LIMIT),
                        ledgers -> reply.accept(AdminReply.json(bills(ledgers))));
    }

    private ObjectNode bills(List<LedgerReading> ledgers) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("complete", ledgers.size() == context.ledgers());
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

    private void claims(Consumer<AdminReply> reply) {
        read(
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

    private void resolveClaim(JsonNode body, Consumer<AdminReply> reply) {
        commit(
                new ResolveClaim(
                        body.path("customer").asText(),
                        body.path("key").asText(),
                        body.path("ran").asBoolean(),
                        body.path("operator").asText(),
                        System.currentTimeMillis()),
                reply);
    }

    private void upstreams(Consumer<AdminReply> reply) {
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
        reply.accept(AdminReply.json(node));
    }

    private void instances(Consumer<AdminReply> reply) {
        context.gathering()
                .hubs(
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
                            reply.accept(AdminReply.json(node));
                        });
    }
}
