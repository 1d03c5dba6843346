package dev.jayturn.core.request;

/** Takes one short sentence for each decision. */
public interface DecisionLog {
    /** Logs a sentence about a call. */
    void logDecision(String callId, String sentence);
}
