package dev.jayturn.core.request;

/** Logs the decisions about calls for operators. */
public interface DecisionLog {
    /** Logs a decision about a call in one short sentence. */
    void logDecision(String callId, String sentence);
}
