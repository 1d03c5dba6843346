package dev.jayturn.core.rules;

import com.google.common.base.Splitter;
import dev.jayturn.core.result.ResultCode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses a rules file: one rule a line; blank lines and lines that start with # are skipped. */
public final class RuleFile {
    private RuleFile() {}

    /** Returns the rules, or every error found. */
    public static Either<List<RuleError>, List<Rule>> parse(String text) {
        List<Rule> rules = new ArrayList<>();
        List<RuleError> errors = new ArrayList<>();
        Map<String, Integer> lines = new HashMap<>();
        int number = 0;
        for (String line : Splitter.on('\n').split(text)) {
            number++;
            if (line.isBlank() || line.trim().startsWith("#")) {
                continue;
            }
            Either<RuleError, Rule> parsed = Rule.parse(number, line);
            if (parsed.isLeft()) {
                errors.add(parsed.getLeft());
                continue;
            }
            Rule rule = parsed.get();
            if (lines.putIfAbsent(rule.id(), number) != null) {
                errors.add(new RuleError(number, ResultCode.RULE_DUPLICATE, rule.id()));
            }
            rules.add(rule);
        }
        checkReferences(rules, lines, errors);
        return errors.isEmpty() ? Either.right(rules) : Either.left(errors);
    }

    private static void checkReferences(
            List<Rule> rules, Map<String, Integer> lines, List<RuleError> errors) {
        for (Rule rule : rules) {
            checkReference(rule, RuleKind.CUSTOMER, lines, errors);
            checkReference(rule, RuleKind.BUDGET, lines, errors);
        }
    }

    private static void checkReference(
            Rule rule, RuleKind target, Map<String, Integer> lines, List<RuleError> errors) {
        String name = rule.values().get(target.keyword());
        if (name == null || lines.containsKey(target.keyword() + " " + name)) {
            return;
        }
        int line = lines.getOrDefault(rule.id(), 0);
        errors.add(
                new RuleError(
                        line, ResultCode.RULE_UNKNOWN_REFERENCE, target.keyword() + "=" + name));
    }
}
