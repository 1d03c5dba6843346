package dev.jayturn.core.dispatch;

/** Divides the connections that an upstream accepts among the entry instances. */
public final class ConnectionShare {
    /** Share of an upstream's connection limit that all entry instances together use. */
    private static final double MAX_SHARE = 0.9;

    private static final int MIN_CONNECTIONS = 2;

    private ConnectionShare() {}

    /**
     * Returns how many connections to an upstream one instance may use.
     *
     * @param limit number of connections that the upstream accepts from all instances together
     */
    public static int equalPart(int limit, int instances) {
        return Math.max(MIN_CONNECTIONS, (int) (MAX_SHARE * limit / instances));
    }
}
