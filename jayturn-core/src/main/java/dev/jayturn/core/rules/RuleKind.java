package dev.jayturn.core.rules;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The kinds of rules, each with the keys that it accepts. */
public enum RuleKind {
    CUSTOMER(
            "customer",
            "a customer with its priority and limits",
            "customer estate-roy priority=6 rate=50 concurrency=20 # Mme Roy, payday queue",
            RuleKeySpec.number("priority", "5", 0, 9, "0 (last) to 9 (first)"),
            RuleKeySpec.number("rate", "0", 0, 1_000_000, "requests per second, 0 for no limit"),
            RuleKeySpec.number("concurrency", "0", 0, 1_000_000, "open requests, 0 for no limit"),
            RuleKeySpec.number("weight", "1", 1, 1000, "share of a full queue")),
    BUDGET(
            "budget",
            "a prepaid token budget of a customer; credits come by command",
            "budget roy-season customer=estate-roy # Mme Roy, autumn audit",
            RuleKeySpec.word("customer", null, "the customer that prepaid it")),
    KEY(
            "key",
            "a bearer key, named by its SHA-256 in hex",
            "key 9f86...0a08 customer=estate-roy budget=roy-season # Mme Roy, scales",
            RuleKeySpec.word("customer", null, "the customer that the key names"),
            RuleKeySpec.word("budget", null, "the budget that its calls are drawn on")),
    ROUTE(
            "route",
            "a model and the upstream service that answers for it",
            "route feuille-7b service=feuille-llm max-tokens=512 # Ops, L. Gagnon",
            RuleKeySpec.word("service", null, "the upstream service"),
            RuleKeySpec.number(
                    "max-tokens", "1024", 1, 1_000_000, "output cap when a call names none"),
            RuleKeySpec.choice(
                    "policy",
                    "affinity",
                    List.of("affinity", "least", "robin"),
                    "how an upstream is chosen"),
            RuleKeySpec.number(
                    "timeout", "60000", 100, 3_600_000, "milliseconds for a whole answer")),
    SERVICE(
            "service",
            "a plain service and which of its calls may repeat",
            "service pesee-app repeat=GET,HEAD price=1 # Ops, L. Gagnon",
            RuleKeySpec.word("repeat", "GET,HEAD,OPTIONS", "methods that may repeat"),
            RuleKeySpec.number("price", "0", 0, 1_000_000, "tokens billed for a call"),
            RuleKeySpec.choice(
                    "claims",
                    "quorum",
                    List.of("quorum"),
                    "where a call that may not repeat is claimed"),
            RuleKeySpec.number(
                    "timeout", "30000", 100, 3_600_000, "milliseconds for a whole answer"));

    private final String keyword;
    private final String summary;
    private final String example;
    private final ImmutableList<RuleKeySpec> keys;

    RuleKind(String keyword, String summary, String example, RuleKeySpec... keys) {
        this.keyword = keyword;
        this.summary = summary;
        this.example = example;
        this.keys = ImmutableList.copyOf(keys);
    }

    /** Returns the first word of a rule of this kind. */
    public String keyword() {
        return keyword;
    }

    /** Returns a one-line summary. */
    public String summary() {
        return summary;
    }

    /** Returns an example line. */
    public String example() {
        return example;
    }

    /** Returns the accepted keys, in the order of the generated documentation. */
    public List<RuleKeySpec> keys() {
        return keys;
    }

    @Nullable RuleKeySpec findKey(String name) {
        for (RuleKeySpec key : keys) {
            if (key.name().equals(name)) {
                return key;
            }
        }
        return null;
    }

    static @Nullable RuleKind findByKeyword(String word) {
        for (RuleKind kind : values()) {
            if (kind.keyword.equals(word)) {
                return kind;
            }
        }
        return null;
    }
}
