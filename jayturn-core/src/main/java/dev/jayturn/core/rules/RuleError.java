package dev.jayturn.core.rules;

import dev.jayturn.core.result.ResultCode;

/**
 * An error in a line of a rules file.
 *
 * @param line the line number, starting at 1
 */
public record RuleError(int line, ResultCode code, String detail) {
    /** Returns the message shown to operators. */
    public String describe() {
        return "line " + line + ": " + code.number() + " " + code.text() + ": " + detail;
    }
}
