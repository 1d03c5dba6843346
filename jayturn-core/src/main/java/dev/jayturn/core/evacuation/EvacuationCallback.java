package dev.jayturn.core.evacuation;

/** Receives the outcome of an operator's order. */
public interface EvacuationCallback {
    /** Called once the order is committed, so that it survives the loss of a minority. */
    void onConfirmed();

    /** Called if no quorum confirmed the order in time; it may still come into force. */
    void onUnconfirmed();
}
