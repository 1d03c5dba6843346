package dev.jayturn.core.transport;

/** Format of the names that messages are addressed to. */
public final class Addresses {
    /** Prefix of the name of an upstream; its IP address and port follow. */
    public static final String UPSTREAM_PREFIX = "upstream/";

    private static final char STORE_SEPARATOR = '#';

    private Addresses() {}

    /** Returns the instance of a name, without the identity of its store if the name has one. */
    public static String instanceOf(String name) {
        int separator = name.indexOf(STORE_SEPARATOR);
        return separator < 0 ? name : name.substring(0, separator);
    }

    /** Returns whether a name is that of an upstream. */
    public static boolean isUpstream(String name) {
        return name.startsWith(UPSTREAM_PREFIX);
    }
}
