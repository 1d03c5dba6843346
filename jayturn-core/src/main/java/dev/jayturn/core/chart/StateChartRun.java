package dev.jayturn.core.chart;

import org.jspecify.annotations.Nullable;

/** One run of a chart. */
public final class StateChartRun {
    private final StateChart chart;
    private String state;

    public StateChartRun(StateChart chart) {
        this.chart = chart;
        this.state = chart.initial();
    }

    /** Returns the present state. */
    public String state() {
        return state;
    }

    /** Returns whether the run is in the given state. */
    public boolean isIn(String other) {
        return state.equals(other);
    }

    /** Returns whether the run has ended. */
    public boolean isFinished() {
        return chart.isFinal(state);
    }

    /** Takes the event if the present state does; returns whether it did. */
    public boolean tryFire(String event) {
        @Nullable String next = chart.next(state, event);
        if (next == null) {
            return false;
        }
        state = next;
        return true;
    }

    /** Takes an event that the present state must take. */
    public void fire(String event) {
        if (!tryFire(event)) {
            throw new StateChartException(chart.name() + ": " + state + " takes no " + event);
        }
    }
}
