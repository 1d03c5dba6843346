package dev.jayturn.core.control;

import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.transport.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Answers {@link ControlRead}; parts that were not requested are empty.
 *
 * @param version the version of the rules in force
 * @param lines the rules in force
 * @param credited tokens credited to the budget
 * @param grants cumulative grants by ledger
 */
public record ControlReading(
        String queryId,
        ResultCode code,
        long version,
        List<String> lines,
        List<RulesVersion> history,
        long credited,
        Map<String, Long> grants,
        List<Claim> claims)
        implements Message {

    static ControlReading of(ControlState state, ControlRead read, boolean confirmed) {
        if (!confirmed) {
            return empty(read.queryId(), ResultCode.CONTROL_UNREACHABLE);
        }
        boolean rules = read.part() == ControlRead.Part.RULES;
        boolean history = read.part() == ControlRead.Part.HISTORY;
        boolean budget = read.part() == ControlRead.Part.BUDGET;
        boolean claims = read.part() == ControlRead.Part.CLAIMS;
        return new ControlReading(
                read.queryId(),
                ResultCode.OK,
                state.version(),
                rules ? new ArrayList<>(state.lines().values()) : List.of(),
                history ? new ArrayList<>(state.versions()) : List.of(),
                budget ? state.credited(read.budget()) : 0,
                budget ? state.grants(read.budget()) : Map.of(),
                claims ? state.unresolvedClaims() : List.of());
    }

    /** Returns an answer without data; its code is the reason. */
    public static ControlReading empty(String queryId, ResultCode code) {
        return new ControlReading(queryId, code, 0, List.of(), List.of(), 0, Map.of(), List.of());
    }
}
