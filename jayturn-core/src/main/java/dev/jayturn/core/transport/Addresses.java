package dev.jayturn.core.transport;

/** The form of the names that messages are sent to. */
public final class Addresses {
    /** Prefix of the names of upstreams; their IP and port follow. */
    public static final String UPSTREAM_PREFIX = "upstream/";

    private static final char STORE_SEPARATOR = '#';

    private Addresses() {}

    /** Returns the instance of a name that may go on with the identity of its store. */
    public static String instanceOf(String name) {
        int mark = name.indexOf(STORE_SEPARATOR);
        return mark < 0 ? name : name.substring(0, mark);
    }

    /** Returns whether a name is an upstream's. */
    public static boolean isUpstream(String name) {
        return name.startsWith(UPSTREAM_PREFIX);
    }
}
