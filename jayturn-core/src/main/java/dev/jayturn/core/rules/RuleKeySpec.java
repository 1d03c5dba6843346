package dev.jayturn.core.rules;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A key that a rule takes.
 *
 * @param name the word before the equals sign
 * @param defaultValue the value when absent; null if the key is required
 * @param numeric whether the value is a whole number from min to max
 * @param choices the allowed words; empty if any word is allowed
 * @param help unit or meaning
 */
public record RuleKeySpec(
        String name,
        @Nullable String defaultValue,
        boolean numeric,
        long min,
        long max,
        List<String> choices,
        String help) {

    static RuleKeySpec number(
            String name, @Nullable String defaultValue, long min, long max, String help) {
        return new RuleKeySpec(name, defaultValue, true, min, max, List.of(), help);
    }

    static RuleKeySpec word(String name, @Nullable String defaultValue, String help) {
        return new RuleKeySpec(name, defaultValue, false, 0, 0, List.of(), help);
    }

    static RuleKeySpec choice(String name, String defaultValue, List<String> choices, String help) {
        return new RuleKeySpec(name, defaultValue, false, 0, 0, choices, help);
    }

    boolean accepts(String value) {
        if (numeric) {
            return isIntegerInRange(value);
        }
        return choices.isEmpty() ? !value.isEmpty() : choices.contains(value);
    }

    private boolean isIntegerInRange(String value) {
        try {
            long number = Long.parseLong(value);
            return number >= min && number <= max;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
