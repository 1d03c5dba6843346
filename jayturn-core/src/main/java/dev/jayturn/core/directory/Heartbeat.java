package dev.jayturn.core.directory;

/**
 * The state of an upstream as it last reported it.
 *
 * @param slots maximum number of requests that the upstream executes concurrently
 * @param incarnation start time of the upstream's incarnation, in milliseconds; a later incarnation
 *     has a higher value
 * @param sequence increases with each heartbeat of an incarnation
 * @param softwareVersion version of the software that the upstream runs, in no order; empty if it
 *     is not known
 */
public record Heartbeat(
        String id,
        String service,
        String address,
        String dataCentre,
        int slots,
        UpstreamState state,
        long incarnation,
        long sequence,
        String softwareVersion) {
    /** Returns the id of the upstream together with its incarnation. */
    public String incarnationId() {
        return id + '/' + incarnation;
    }

    /** Returns whether this heartbeat is newer than another of the same upstream. */
    public boolean isAfter(Heartbeat other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        // A departure has the sequence of the last heartbeat; it is final for the incarnation.
        return state.compareTo(other.state) > 0;
    }

    /** Returns whether anything other than the sequence differs from another heartbeat. */
    public boolean differsFrom(Heartbeat other) {
        return incarnation != other.incarnation
                || state != other.state
                || slots != other.slots
                || !service.equals(other.service)
                || !address.equals(other.address)
                || !dataCentre.equals(other.dataCentre)
                || !softwareVersion.equals(other.softwareVersion);
    }

    /** Returns a copy of this heartbeat with another state. */
    public Heartbeat withState(UpstreamState newState) {
        return new Heartbeat(
                id,
                service,
                address,
                dataCentre,
                slots,
                newState,
                incarnation,
                sequence,
                softwareVersion);
    }
}
