package dev.jayturn.core.directory;

import com.google.common.base.CharMatcher;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * Checks heartbeats, which a faulty writer or an instance of another build may have sent. What does
 * not pass names no upstream that could be used, and is ignored by itself.
 */
public final class HeartbeatValidator {
    private static final int MAX_TEXT_LENGTH = 200;
    private static final int MAX_SLOTS = 1 << 20;

    /** Some 280 years after 1970, in milliseconds. */
    private static final long MAX_INCARNATION = 1L << 43;

    /** More than a heartbeat a millisecond for 30 years. */
    private static final long MAX_SEQUENCE = 1L << 40;

    /** Ids are sent in headers and are the last part of a path. */
    private static final CharMatcher ID_CHARACTERS =
            CharMatcher.inRange('!', '~').and(CharMatcher.isNot('/')).precomputed();

    private static final CharMatcher TEXT_CHARACTERS = CharMatcher.javaIsoControl().negate();

    private HeartbeatValidator() {}

    /** Returns whether a heartbeat or a departure is valid in itself. */
    public static boolean isValid(Heartbeat heartbeat) {
        return isValidId(heartbeat.id())
                && isValidIncarnation(heartbeat.incarnation())
                && (heartbeat.hasDeparted() || isUsable(heartbeat));
    }

    private static boolean isUsable(Heartbeat heartbeat) {
        boolean hasState =
                heartbeat.state() == UpstreamState.READY
                        || heartbeat.state() == UpstreamState.DRAINING;
        return hasState
                && !heartbeat.service().isEmpty()
                && isText(heartbeat.service())
                && isText(heartbeat.dataCentre())
                && isText(heartbeat.softwareVersion())
                && heartbeat.slots() > 0
                && heartbeat.slots() <= MAX_SLOTS
                && heartbeat.sequence() >= 0
                && heartbeat.sequence() <= MAX_SEQUENCE
                && isIpAndPort(heartbeat.address());
    }

    /** Returns whether an id is one that requests can name. */
    public static boolean isValidId(String id) {
        return !id.isEmpty() && id.length() <= MAX_TEXT_LENGTH && ID_CHARACTERS.matchesAllOf(id);
    }

    /** Returns whether a number is the start time of an upstream, in milliseconds. */
    public static boolean isValidIncarnation(long incarnation) {
        return incarnation > 0 && incarnation <= MAX_INCARNATION;
    }

    private static boolean isText(String text) {
        return text.length() <= MAX_TEXT_LENGTH && TEXT_CHARACTERS.matchesAllOf(text);
    }

    private static boolean isIpAndPort(String address) {
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            // Scoped addresses name an interface of the machine that wrote them.
            return parsed.getPortOrDefault(0) > 0
                    && address.indexOf('%') < 0
                    && InetAddresses.isInetAddress(parsed.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
