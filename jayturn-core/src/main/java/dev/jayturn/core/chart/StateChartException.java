package dev.jayturn.core.chart;

/** A chart file that is malformed, or an event that the present state does not take. */
public final class StateChartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public StateChartException(String message) {
        super(message);
    }
}
