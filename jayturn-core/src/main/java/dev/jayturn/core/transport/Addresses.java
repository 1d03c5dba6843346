package dev.jayturn.core.transport;

/**
 * Format of the names that messages are addressed to. The name of an instance may be followed by #
 * and the identity of the store that holds the instance's durable data.
 */
public final class Addresses {
    /** Prefix of the name of an upstream; its IP address and port follow. */
    public static final String UPSTREAM_PREFIX = "upstream/";

    private static final char STORE_SEPARATOR = '#';

    private Addresses() {}

    /** Returns a name without the identity of the store, if it has one. */
    public static String instanceOf(String name) {
        int separator = name.indexOf(STORE_SEPARATOR);
        return separator < 0 ? name : name.substring(0, separator);
    }

    /** Returns whether a name is that of an upstream. */
    public static boolean isUpstream(String name) {
        return name.startsWith(UPSTREAM_PREFIX);
    }
}
