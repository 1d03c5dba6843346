package dev.jayturn.core.membership;

import java.util.List;

/**
 * The latest announcement of an upstream.
 *
 * @param id unique name
 * @param address IP address and port
 * @param incarnation increases with each start of the upstream
 * @param sequence increases with each announcement of an incarnation
 * @param capacity maximum number of requests that it executes concurrently
 * @param fencing whether it rejects requests with an outdated fencing number
 * @param tombstones whether it rejects request ids that were cancelled
 * @param leaving whether it accepts no new requests
 */
public record Upstream(
        String id,
        String service,
        String address,
        String dataCentre,
        long incarnation,
        long sequence,
        List<String> models,
        int capacity,
        boolean fencing,
        boolean tombstones,
        boolean leaving) {

    /** Returns whether this announcement is newer than another of the same upstream. */
    public boolean isNewerThan(Upstream other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }

    /** Returns whether this announcement equals another one in everything but the sequence. */
    boolean isSameBut(Upstream other) {
        Upstream renumbered =
                new Upstream(
                        id,
                        service,
                        address,
                        dataCentre,
                        incarnation,
                        other.sequence,
                        models,
                        capacity,
                        fencing,
                        tombstones,
                        leaving);
        return renumbered.equals(other);
    }
}
