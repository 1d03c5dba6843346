package dev.jayturn.daemon.head;

/** Decides when the next part of a request is decoded; the handler of the requests. */
public interface RequestGate {
    /** Returns whether what has been received has to stay undecoded for now. */
    boolean isPaused();

    /** Returns whether nothing more may be received for now. */
    boolean isReadingStopped();

    /** Returns whether the request that was decoded last, if it has not ended, may be running. */
    boolean isRunning();

    /**
     * Called when a request is given up because of the memory of its head, whether that is complete
     * or not. Everything else that arrives on the connection is discarded.
     */
    void onHeadRefused();
}
