package dev.jayturn.core.quarantine;

/** Learns of the prompt parts that are put in quarantine or released. */
public interface QuarantineListener {
    /**
     * Called when a part is put in quarantine.
     *
     * @param ends number of upstreams that ended while they began a response to it
     */
    void onQuarantined(String part, int ends);

    /** Called when a response to a prompt with a part in quarantine was complete. */
    void onReleased(String part);
}
