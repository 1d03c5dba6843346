package dev.jayturn.core.chart;

/** Thrown for an invalid chart, or an event that the current state has no transition for. */
public final class StateChartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public StateChartException(String message) {
        super(message);
    }
}
