package dev.jayturn.core.rules;

import io.vavr.collection.HashMap;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** A version of the rules, parsed for lookup; a change makes the next one without copying it. */
public final class RuleSet {
    /** The rules before any were applied. */
    public static final RuleSet EMPTY = new RuleSet(0, HashMap.empty());

    private final long version;
    private final HashMap<String, Rule> rulesById;

    private RuleSet(long version, HashMap<String, Rule> rules) {
        this.version = version;
        this.rulesById = rules;
    }

    /** Parses lines that were checked when their version was accepted. */
    public static RuleSet compile(long version, Collection<String> lines) {
        return EMPTY.withDelta(version, new RuleDelta(List.copyOf(lines), List.of()));
    }

    /** Returns the next version. */
    public RuleSet withDelta(long nextVersion, RuleDelta delta) {
        HashMap<String, Rule> next = rulesById.removeAll(delta.removals());
        for (String line : delta.puts()) {
            Rule rule = Rule.parse(0, line).get();
            next = next.put(rule.id(), rule);
        }
        return new RuleSet(nextVersion, next);
    }

    /** Returns the lines, by rule id. */
    public Map<String, String> lines() {
        Map<String, String> lines = new TreeMap<>();
        rulesById.forEach((id, rule) -> lines.put(id, rule.text()));
        return lines;
    }

    /** Returns the version; 0 before any rules were applied. */
    public long version() {
        return version;
    }

    /** Returns the number of rules. */
    public int size() {
        return rulesById.size();
    }

    /** Returns who a bearer key, hashed, stands for; null if nobody. */
    public @Nullable Principal findPrincipal(String sha256) {
        Rule key = find(RuleKind.KEY, sha256);
        if (key == null) {
            return null;
        }
        String name = key.value("customer");
        Rule customer = find(RuleKind.CUSTOMER, name);
        if (customer == null) {
            return null;
        }
        return new Principal(
                name,
                key.value("budget"),
                (int) customer.numericValue("priority"),
                customer.numericValue("rate"),
                customer.numericValue("concurrency"),
                (int) customer.numericValue("weight"));
    }

    /** Returns the route of a model; null if there is none. */
    public @Nullable ModelRoute findModelRoute(String model) {
        Rule rule = find(RuleKind.ROUTE, model);
        if (rule == null) {
            return null;
        }
        return new ModelRoute(
                model,
                rule.value("service"),
                rule.numericValue("max-tokens"),
                rule.value("policy"),
                rule.numericValue("timeout"));
    }

    /** Returns the rule of a plain service; null if there is none. */
    public @Nullable PlainService findPlainService(String name) {
        Rule rule = find(RuleKind.SERVICE, name);
        if (rule == null) {
            return null;
        }
        Set<String> repeat = Set.of(rule.value("repeat").split(","));
        return new PlainService(
                name, repeat, rule.numericValue("price"), rule.numericValue("timeout"));
    }

    /** Returns whether a budget is defined. */
    public boolean hasBudget(String name) {
        return rulesById.containsKey(RuleKind.BUDGET.keyword() + " " + name);
    }

    private @Nullable Rule find(RuleKind kind, String name) {
        return rulesById.getOrElse(kind.keyword() + " " + name, null);
    }
}
