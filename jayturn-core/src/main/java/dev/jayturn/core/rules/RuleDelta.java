package dev.jayturn.core.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The difference between two versions of the rules.
 *
 * @param puts lines of rules that were added or changed
 * @param removals ids of rules that were removed
 */
public record RuleDelta(List<String> puts, List<String> removals) {

    /** Returns the delta between two versions, each given as lines by rule id. */
    public static RuleDelta between(Map<String, String> before, Map<String, String> after) {
        List<String> puts = new ArrayList<>();
        List<String> removals = new ArrayList<>();
        for (Map.Entry<String, String> entry : after.entrySet()) {
            if (!entry.getValue().equals(before.get(entry.getKey()))) {
                puts.add(entry.getValue());
            }
        }
        for (String id : before.keySet()) {
            if (!after.containsKey(id)) {
                removals.add(id);
            }
        }
        return new RuleDelta(puts, removals);
    }

    /** Returns the lines of parsed rules by rule id. */
    public static Map<String, String> linesById(List<Rule> rules) {
        Map<String, String> lines = new TreeMap<>();
        for (Rule rule : rules) {
            lines.put(rule.id(), rule.text());
        }
        return lines;
    }

    /** Applies this delta in place to lines by rule id. */
    public void applyTo(Map<String, String> lines) {
        for (String id : removals) {
            lines.remove(id);
        }
        for (String line : puts) {
            lines.put(idOf(line), line);
        }
    }

    /** Returns whether the delta changes nothing. */
    public boolean isEmpty() {
        return puts.isEmpty() && removals.isEmpty();
    }

    /** Returns the id of the rule on a line that has already been validated. */
    public static String idOf(String line) {
        String[] words = line.trim().split("\\s+", 3);
        return words[0] + " " + words[1];
    }
}
