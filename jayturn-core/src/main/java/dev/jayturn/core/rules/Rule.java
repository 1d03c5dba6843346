package dev.jayturn.core.rules;

import com.google.common.collect.ImmutableMap;
import dev.jayturn.core.result.ResultCode;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One parsed rule.
 *
 * @param kind the kind
 * @param name the second word, unique within the kind
 * @param values the values given or defaulted, by key
 * @param text the line as written, trimmed
 */
public record Rule(RuleKind kind, String name, Map<String, String> values, String text) {

    private static final String SHA256_HEX = "[0-9a-f]{64}";

    /** Returns what identifies the rule among all rules. */
    public String id() {
        return kind.keyword() + " " + name;
    }

    String value(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new IllegalArgumentException("no key " + key + " in " + id());
        }
        return value;
    }

    long numericValue(String key) {
        return Long.parseLong(value(key));
    }

    static Either<RuleError, Rule> parse(int line, String text) {
        int hash = text.indexOf('#');
        String comment = hash < 0 ? "" : text.substring(hash + 1).trim();
        if (comment.isEmpty()) {
            return error(line, ResultCode.RULE_NO_COMMENT, "end the line with # and who asked");
        }
        String[] words = text.substring(0, hash).trim().split("\\s+");
        RuleKind kind = RuleKind.findByKeyword(words[0]);
        if (kind == null) {
            return error(line, ResultCode.RULE_UNKNOWN_KIND, words[0]);
        }
        if (words.length < 2 || words[1].contains("=")) {
            return error(line, ResultCode.RULE_MISSING_KEY, kind.keyword() + " needs a name");
        }
        if (kind == RuleKind.KEY && !words[1].matches(SHA256_HEX)) {
            return error(line, ResultCode.RULE_BAD_VALUE, "a key is named by 64 hex digits");
        }
        return parseValues(line, kind, words)
                .map(values -> new Rule(kind, words[1], values, text.trim()));
    }

    private static Either<RuleError, Map<String, String>> parseValues(
            int line, RuleKind kind, String[] words) {
        Map<String, String> values = new LinkedHashMap<>();
        for (int i = 2; i < words.length; i++) {
            RuleError error = parseValue(line, kind, words[i], values);
            if (error != null) {
                return Either.left(error);
            }
        }
        for (RuleKeySpec key : kind.keys()) {
            String defaultValue = key.defaultValue();
            if (values.containsKey(key.name())) {
                continue;
            }
            if (defaultValue == null) {
                return error(line, ResultCode.RULE_MISSING_KEY, key.name());
            }
            values.put(key.name(), defaultValue);
        }
        return Either.right(ImmutableMap.copyOf(values));
    }

    private static @Nullable RuleError parseValue(
            int line, RuleKind kind, String word, Map<String, String> values) {
        int equals = word.indexOf('=');
        String name = equals < 0 ? word : word.substring(0, equals);
        RuleKeySpec key = kind.findKey(name);
        if (key == null) {
            return new RuleError(line, ResultCode.RULE_UNKNOWN_KEY, name);
        }
        String value = equals < 0 ? "" : word.substring(equals + 1);
        if (!key.accepts(value)) {
            return new RuleError(line, ResultCode.RULE_BAD_VALUE, word + "; " + key.help());
        }
        if (values.put(name, value) != null) {
            return new RuleError(line, ResultCode.RULE_DUPLICATE, name);
        }
        return null;
    }

    private static <T> Either<RuleError, T> error(int line, ResultCode code, String detail) {
        return Either.left(new RuleError(line, code, detail));
    }
}
