package dev.jayturn.core.quarantine;

/** Learns of the requests and prompt parts that are put in quarantine or released. */
public interface QuarantineListener {
    /**
     * Called when a request or a part is put in quarantine.
     *
     * @param suspect fingerprint of the request, or id of the part
     * @param ends number of upstreams that ended while they ran it
     */
    void onQuarantined(String suspect, int ends);

    /** Called when a response to a suspect in quarantine was complete. */
    void onReleased(String suspect);
}
