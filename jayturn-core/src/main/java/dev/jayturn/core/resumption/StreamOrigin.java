package dev.jayturn.core.resumption;

import dev.jayturn.core.directory.Heartbeat;

/**
 * The software that wrote the first event of a stream.
 *
 * @param service service of the upstream
 * @param softwareVersion version of the software; empty if it is not known
 */
public record StreamOrigin(String service, String softwareVersion) {
    /** An origin that no upstream can continue. */
    public static final StreamOrigin UNKNOWN = new StreamOrigin("", "");

    /**
     * Returns the origin of events from an upstream. It is unknown if the upstream has started
     * again or changed its version since the request was sent, because either of the two may have
     * written the events.
     *
     * @param sentTo heartbeat known when the request was sent
     * @param newest newest heartbeat with the same id
     */
    public static StreamOrigin of(Heartbeat sentTo, Heartbeat newest) {
        boolean isSame =
                sentTo.incarnation() == newest.incarnation()
                        && sentTo.softwareVersion().equals(newest.softwareVersion());
        return isSame && !sentTo.softwareVersion().isEmpty()
                ? new StreamOrigin(sentTo.service(), sentTo.softwareVersion())
                : UNKNOWN;
    }

    /** Returns whether it is known which software began the stream. */
    public boolean isKnown() {
        return !softwareVersion.isEmpty();
    }

    /** Returns whether an upstream may continue the stream. */
    public boolean isContinuedBy(Heartbeat upstream) {
        return isKnown()
                && service.equals(upstream.service())
                && softwareVersion.equals(upstream.softwareVersion());
    }

    /** Returns the origin after events of another one; unknown unless the two are the same. */
    public StreamOrigin merge(StreamOrigin other) {
        return equals(other) ? this : UNKNOWN;
    }
}
