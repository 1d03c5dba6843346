package dev.jayturn.core.chart;

import com.google.common.base.Splitter;
import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A state chart: a set of states and the events that cause transitions between them. The file has a
 * line {@code initial STATE}, a line {@code final STATE...}, and a line {@code STATE EVENT STATE}
 * for each transition; text after # is a comment.
 */
public final class StateChart {
    private final String name;
    private final Map<String, Map<String, String>> transitions = new LinkedHashMap<>();
    private final Set<String> finalStates = new HashSet<>();
    private String initial = "";

    private StateChart(String name) {
        this.name = name;
    }

    /** Loads {@code charts/NAME.chart} from the class path and validates it. */
    public static StateChart load(String name) {
        try {
            return parse(
                    name,
                    Resources.asCharSource(
                                    Resources.getResource("charts/" + name + ".chart"),
                                    StandardCharsets.UTF_8)
                            .read());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses and validates a chart.
     *
     * @throws StateChartException if a line is malformed, a state has two targets for one event, a
     *     state is unreachable, or a state that is not final has no transition
     */
    public static StateChart parse(String name, String text) {
        StateChart chart = new StateChart(name);
        int lineNumber = 0;
        for (String line : Splitter.on('\n').split(text)) {
            lineNumber++;
            String statement = line.replaceFirst("#.*", "").trim();
            if (!statement.isEmpty()) {
                chart.addLine(lineNumber, statement.split("\\s+"));
            }
        }
        chart.validate();
        return chart;
    }

    private void addLine(int lineNumber, String[] tokens) {
        if (tokens[0].equals("initial") && tokens.length == 2) {
            initial = tokens[1];
        } else if (tokens[0].equals("final")) {
            finalStates.addAll(List.of(tokens).subList(1, tokens.length));
        } else if (tokens.length == 3) {
            addTransition(lineNumber, tokens[0], tokens[1], tokens[2]);
        } else {
            throw new StateChartException(
                    name + " line " + lineNumber + ": expected STATE EVENT STATE");
        }
    }

    private void addTransition(int lineNumber, String from, String event, String to) {
        Map<String, String> events = transitions.computeIfAbsent(from, f -> new HashMap<>());
        if (events.putIfAbsent(event, to) != null) {
            throw new StateChartException(
                    name + " line " + lineNumber + ": duplicate transition for " + event);
        }
    }

    private void validate() {
        Set<String> reachable = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>();
        queue.add(initial);
        while (!queue.isEmpty()) {
            String state = queue.remove();
            if (!reachable.add(state)) {
                continue;
            }
            Map<String, String> events = transitions.getOrDefault(state, Map.of());
            if (events.isEmpty() && !finalStates.contains(state)) {
                throw new StateChartException(
                        name + ": no transition out of non-final state " + state);
            }
            queue.addAll(events.values());
        }
        for (String state : transitions.keySet()) {
            if (!reachable.contains(state)) {
                throw new StateChartException(name + ": " + state + " is unreachable");
            }
        }
    }

    /** Returns the state that a new run starts in. */
    public String initial() {
        return initial;
    }

    /** Returns whether a run that reaches this state is finished. */
    public boolean isFinal(String state) {
        return finalStates.contains(state);
    }

    /** Returns the target of a transition, or null if the state has none for the event. */
    public @Nullable String next(String state, String event) {
        return transitions.getOrDefault(state, Map.of()).get(event);
    }

    public String name() {
        return name;
    }
}
