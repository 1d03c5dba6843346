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
 * @param coldMillis time for which the upstream was to stay cold when it sent this, in
 *     milliseconds: it tolerates fewer requests until then; 0 if it was warm
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
        String softwareVersion,
        long coldMillis) {
    /** Instances of earlier builds order departures by their sequence. */
    private static final long LAST_SEQUENCE = Long.MAX_VALUE;

    /** More than the calls of one minute, after which an upstream is forgotten. */
    private static final long MAX_SEQUENCE_STEP = 10_000;

    /** Instances keep one upstream for each address, so these differ too. */
    private static final String UNKNOWN_ADDRESS_PREFIX = "unknown/";

    /** Creates the heartbeat of an upstream that is not cold. */
    public Heartbeat(
            String id,
            String service,
            String address,
            String dataCentre,
            int slots,
            UpstreamState state,
            long incarnation,
            long sequence,
            String softwareVersion) {
        this(
                id,
                service,
                address,
                dataCentre,
                slots,
                state,
                incarnation,
                sequence,
                softwareVersion,
                0);
    }

    /** Returns the id of the upstream together with its incarnation. */
    public String incarnationId() {
        return id + '/' + incarnation;
    }

    /**
     * Returns whether this heartbeat is newer than another of the same upstream. A departure is the
     * last of its incarnation, whatever the sequences say: heartbeats of that incarnation may reach
     * other control instances, which have not heard of the departure, later.
     */
    public boolean isAfter(Heartbeat other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (hasDeparted() || other.hasDeparted()) {
            return !other.hasDeparted();
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Returns whether the upstream has departed. */
    public boolean hasDeparted() {
        return state == UpstreamState.GONE;
    }

    /**
     * Returns whether anything other than the sequence differs from an earlier heartbeat. The
     * remaining cold time differs if it has grown or is over.
     */
    public boolean differsFrom(Heartbeat other) {
        return incarnation != other.incarnation
                || state != other.state
                || slots != other.slots
                || !service.equals(other.service)
                || !address.equals(other.address)
                || !dataCentre.equals(other.dataCentre)
                || !softwareVersion.equals(other.softwareVersion)
                || coldMillis > other.coldMillis
                || (coldMillis == 0 && other.coldMillis > 0);
    }

    /**
     * Returns whether another writer than that of an earlier heartbeat sent this one: within one
     * incarnation the service and the address stay, and the sequence grows by one with each call.
     */
    public boolean contradicts(Heartbeat earlier) {
        return incarnation == earlier.incarnation
                && !hasDeparted()
                && !earlier.hasDeparted()
                && (!service.equals(earlier.service)
                        || !address.equals(earlier.address)
                        || sequence - earlier.sequence > MAX_SEQUENCE_STEP);
    }

    /** Returns the departure of this incarnation. */
    public Heartbeat departure() {
        return new Heartbeat(
                id,
                service,
                address,
                dataCentre,
                slots,
                UpstreamState.GONE,
                incarnation,
                LAST_SEQUENCE,
                softwareVersion);
    }

    /**
     * Returns this heartbeat, which is to replace an earlier one. A departure may come from an
     * instance that knows less of the upstream, so it keeps what the earlier heartbeat said.
     */
    public Heartbeat replacing(Heartbeat earlier) {
        return hasDeparted() && incarnation == earlier.incarnation ? earlier.departure() : this;
    }

    /** Returns the departure of an incarnation of which nothing else is known. */
    static Heartbeat departureOf(String id, long incarnation) {
        return new Heartbeat(
                id,
                "",
                UNKNOWN_ADDRESS_PREFIX + id,
                "",
                0,
                UpstreamState.GONE,
                incarnation,
                LAST_SEQUENCE,
                "");
    }
}
