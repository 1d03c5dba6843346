package dev.jayturn.core.control;

import dev.jayturn.core.result.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of a command.
 *
 * @param version the version of the rules after the command
 * @param call the outcome of the call that already holds the requested claim, if there is one
 */
public record ControlOutcome(ResultCode code, long version, @Nullable CallOutcome call) {
    /** Returns an outcome without a call that holds the claim. */
    public static ControlOutcome of(ResultCode code, long version) {
        return new ControlOutcome(code, version, null);
    }
}
