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
 * A state chart: states and the events that lead from one to another. The file has a line {@code
 * initial STATE}, a line {@code final STATE...}, and a line {@code STATE EVENT STATE} for each
 * transition; text after # is a comment.
 */
public final class StateChart {
    private final String name;
    private final Map<String, Map<String, String>> transitions = new LinkedHashMap<>();
    private final Set<String> finalStates = new HashSet<>();
    private String initial = "";

    private StateChart(String name) {
        this.name = name;
    }

    /** Loads and checks a chart from the class path. */
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

    /** Parses and checks a chart: reachable states, one target an event, no dead state. */
    public static StateChart parse(String name, String text) {
        StateChart chart = new StateChart(name);
        int number = 0;
        for (String line : Splitter.on('\n').split(text)) {
            number++;
            String rule = line.replaceFirst("#.*", "").trim();
            if (!rule.isEmpty()) {
                chart.addLine(number, rule.split("\\s+"));
            }
        }
        chart.validate();
        return chart;
    }

    private void addLine(int number, String[] words) {
        if (words[0].equals("initial") && words.length == 2) {
            initial = words[1];
        } else if (words[0].equals("final")) {
            finalStates.addAll(List.of(words).subList(1, words.length));
        } else if (words.length == 3) {
            addTransition(number, words[0], words[1], words[2]);
        } else {
            throw new StateChartException(
                    name + " line " + number + ": expected STATE EVENT STATE");
        }
    }

    private void addTransition(int number, String from, String event, String to) {
        Map<String, String> events = transitions.computeIfAbsent(from, f -> new HashMap<>());
        if (events.putIfAbsent(event, to) != null) {
            throw new StateChartException(
                    name + " line " + number + ": second target for " + event);
        }
    }

    private void validate() {
        Set<String> reached = new HashSet<>();
        Deque<String> queue = new ArrayDeque<>();
        queue.add(initial);
        while (!queue.isEmpty()) {
            String state = queue.remove();
            if (!reached.add(state)) {
                continue;
            }
            Map<String, String> events = transitions.getOrDefault(state, Map.of());
            if (events.isEmpty() && !finalStates.contains(state)) {
                throw new StateChartException(name + ": no way out of " + state);
            }
            queue.addAll(events.values());
        }
        for (String state : transitions.keySet()) {
            if (!reached.contains(state)) {
                throw new StateChartException(name + ": " + state + " is never reached");
            }
        }
    }

    /** Returns the state that a new run starts in. */
    public String initial() {
        return initial;
    }

    /** Returns whether a run that is in this state has ended. */
    public boolean isFinal(String state) {
        return finalStates.contains(state);
    }

    /** Returns the state after the event; null if the state does not take it. */
    public @Nullable String next(String state, String event) {
        return transitions.getOrDefault(state, Map.of()).get(event);
    }

    /** Returns the chart's name. */
    public String name() {
        return name;
    }
}
