package dev.jayturn.core.rules;

import com.google.common.base.Splitter;
import dev.jayturn.core.result.ResultCode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses a file with one rule per line; blank lines and lines that start with # are skipped. */
public final class RuleFile {
    private RuleFile() {}

    /** Returns the rules, or all errors if there are any. */
    public static Either<List<RuleError>, List<Rule>> parse(String text) {
        List<Rule> rules = new ArrayList<>();
        List<RuleError> errors = new ArrayList<>();
        Map<String, Integer> lineNumbersById = new HashMap<>();
        int lineNumber = 0;
        for (String line : Splitter.on('\n').split(text)) {
            lineNumber++;
            if (line.isBlank() || line.trim().startsWith("#")) {
                continue;
            }
            Either<RuleError, Rule> parsed = Rule.parse(lineNumber, line);
            if (parsed.isLeft()) {
                errors.add(parsed.getLeft());
                continue;
            }
            Rule rule = parsed.get();
            if (lineNumbersById.putIfAbsent(rule.id(), lineNumber) != null) {
                errors.add(new RuleError(lineNumber, ResultCode.RULE_DUPLICATE, rule.id()));
            }
            rules.add(rule);
        }
        checkReferences(rules, lineNumbersById, errors);
        return errors.isEmpty() ? Either.right(rules) : Either.left(errors);
    }

    private static void checkReferences(
            List<Rule> rules, Map<String, Integer> lineNumbersById, List<RuleError> errors) {
        for (Rule rule : rules) {
            checkReference(rule, RuleKind.CUSTOMER, lineNumbersById, errors);
            checkReference(rule, RuleKind.BUDGET, lineNumbersById, errors);
        }
    }

    private static void checkReference(
            Rule rule,
            RuleKind referencedKind,
            Map<String, Integer> lineNumbersById,
            List<RuleError> errors) {
        String name = rule.values().get(referencedKind.keyword());
        if (name == null || lineNumbersById.containsKey(referencedKind.keyword() + " " + name)) {
            return;
        }
        int line = lineNumbersById.getOrDefault(rule.id(), 0);
        errors.add(
                new RuleError(
                        line,
                        ResultCode.RULE_UNKNOWN_REFERENCE,
                        referencedKind.keyword() + "=" + name));
    }
}
