package dev.jayturn.core.chart;

import org.jspecify.annotations.Nullable;

/** One execution of a state chart; starts in its initial state. */
public final class StateChartRun {
    private final StateChart chart;
    private String state;

    public StateChartRun(StateChart chart) {
        this.chart = chart;
        this.state = chart.initial();
    }

    /** Returns the current state. */
    public String state() {
        return state;
    }

    /** Returns whether the given state is the current one. */
    public boolean isIn(String other) {
        return state.equals(other);
    }

    /** Returns whether the current state is final. */
    public boolean isFinished() {
        return chart.isFinal(state);
    }

    /** Fires an event if the current state has a transition for it; returns whether it had. */
    public boolean tryFire(String event) {
        @Nullable String next = chart.next(state, event);
        if (next == null) {
            return false;
        }
        state = next;
        return true;
    }

    /**
     * Fires an event.
     *
     * @throws StateChartException if the current state has no transition for the event
     */
    public void fire(String event) {
        if (!tryFire(event)) {
            throw new StateChartException(
                    chart.name() + ": " + state + " has no transition for " + event);
        }
    }
}
